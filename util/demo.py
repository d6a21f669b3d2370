"""Runs the spares shop on loopback and checks what operators and callers see.

Exits 1 when a promise that can be seen from outside is broken.
"""

import collections
import os
import signal
import sys
import time

import mesh as meshlib
from callers import Callers

EXAMPLE = os.path.join(meshlib.ROOT, "examples/spares-shop")
ZONES = ["tw-central-a", "tw-central-b", "tw-central-c"]
OUT_ZONE = "tw-central-b"
# An availability zone that is taken out receives no new work after this time.
ZONE_OUT_SECONDS = 2.0
CONVERGENCE_BOUND_MS = 1000.0


def make_upstreams():
    """10 upstreams of catalogue, half of them on v2, and 3 of media."""
    upstreams = []
    for index in range(10):
        version = "v1" if index < 5 else "v2"
        upstreams.append(meshlib.Upstream(index, "catalogue", version,
                                          ZONES[index % 3]))
    for index in range(10, 13):
        upstreams.append(meshlib.Upstream(index, "media", "v1",
                                          ZONES[index % 3]))
    return upstreams


class Demo:
    def __init__(self, folder):
        self.mesh = meshlib.Mesh(folder, 21000, 3, make_upstreams(),
                                 "tw-central")
        self.broken = []
        self.rows = []
        self.moves = []

    def check(self, holds, message):
        if not holds:
            self.broken.append(message)

    def apply(self, name):
        started_ms = time.time() * 1000
        code, out, err = self.mesh.ctl("apply", os.path.join(EXAMPLE, name))
        self.check(code == 0, f"apply {name} ended with {code}: {out}{err}")
        status = self.mesh.status()
        sets = meshlib.get_json(self.mesh.leader_port(), "/v1/history")[1]
        revision = sets["sets"][-1]["revision"]
        took = self.mesh.convergence_ms(revision, started_ms)
        self.rows.append((name, revision, took))
        self.check(took is not None and took <= CONVERGENCE_BOUND_MS,
                   f"{name} was in force everywhere after {took} ms")
        return status

    def total_executions(self, indexes):
        return sum(self.mesh.executions(i)["total"] for i in indexes)

    def run(self):
        mesh = self.mesh
        mesh.start_all()
        meshlib.wait_until(mesh.status, 20, "a control leader")
        mesh.wait_members(len(mesh.upstreams))
        time.sleep(meshlib.FOUNDING_SECONDS)
        self.apply("set-1.yaml")
        quiet = self.measure_quiet_bytes()
        callers = Callers(mesh, [0, 3, 4, 6, 10, 12], keyed=True)
        time.sleep(4)  # Lets the upstreams warm up under load.
        self.apply("set-2.yaml")
        end = meshlib.wait_until(self.finished_move, 40, "the end of the move")
        self.check(end["phase"] == "done", f"the move ended as {end['phase']}")
        time.sleep(1)
        self.take_zone_out(callers)
        time.sleep(2)
        callers.stop()
        self.report(callers, quiet)

    def finished_move(self):
        for event in self.mesh.events():
            if event["phase"] in ("done", "taken_back", "superseded"):
                return event
        return None

    def take_zone_out(self, callers):
        mesh = self.mesh
        outside = [u.index for u in mesh.upstreams if u.zone == OUT_ZONE]
        self.apply("set-3.yaml")
        time.sleep(ZONE_OUT_SECONDS)
        before = self.total_executions(outside)
        time.sleep(1.5)
        after = self.total_executions(outside)
        self.check(after == before,
                   f"{after - before} calls reached {OUT_ZONE} while it was out")
        self.apply("set-4.yaml")
        meshlib.wait_until(lambda: self.total_executions(outside) > after, 15,
                           f"new work in {OUT_ZONE} after its return")

    def measure_quiet_bytes(self):
        def total():
            return [sum(self.mesh.node_dump(u.index)["metrics"][key]
                        for key in ("control_bytes_in_total",
                                    "control_bytes_out_total"))
                    for u in self.mesh.upstreams]
        before, start = total(), time.monotonic()
        time.sleep(3)
        after, seconds = total(), time.monotonic() - start
        return max((b - a) / seconds for a, b in zip(before, after))

    def check_orders(self, callers):
        runs = collections.Counter()
        for upstream in self.mesh.upstreams:
            runs.update(self.mesh.executions(upstream.index)["orders"])
        for order, (succeeded, outcome) in callers.orders.items():
            count = runs[order]
            self.check(count <= 1, f"{order} ran {count} times")
            if succeeded:
                self.check(count == 1, f"{order} was answered and ran {count} times")
            if outcome == "not-run":
                self.check(count == 0, f"{order} was refused as not run and ran")
        return runs

    def report(self, callers, quiet):
        runs = self.check_orders(callers)
        print(f"\n{'calls':<12}{'made':>8}{'failed':>8}")
        for kind, made in sorted(callers.calls.items()):
            print(f"{kind:<12}{made:>8}{callers.failures[kind]:>8}")
            self.check(callers.failures[kind] == 0,
                       f"{callers.failures[kind]} calls of kind {kind} failed")
        for reason, count in callers.reasons.most_common(8):
            print(f"  {count} x {reason}")
        print(f"\norders: {len(callers.orders)} sent, {len(runs)} ran, "
              f"most often {max(runs.values(), default=0)} time(s)")
        print(f"\n{'change':<14}{'revision':>9}{'in force everywhere':>22}")
        for name, revision, took in self.rows:
            shown = "never" if took is None else f"{took:.0f} ms"
            print(f"{name:<14}{revision:>9}{shown:>22}")
        print(f"\ncontrol bytes of the busiest node, quiet: {quiet:.0f} B/s")
        print("\nmoves")
        for event in self.mesh.events():
            print(f"  {event['id']:<16}{event['phase']:<12}"
                  f"{event['share'] / 100:>7.2f}%  {event['reason']}")
        for message in self.broken[:20]:
            print(f"BROKEN: {message}")
        print("demo: every promise held" if not self.broken
              else f"demo: {len(self.broken)} promises broken")


def main():
    demo = Demo(os.path.join(meshlib.ROOT, "demo-run"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        demo.run()
    except TimeoutError as error:
        print(f"BROKEN: {error}")
        demo.broken.append(str(error))
    finally:
        demo.mesh.stop_all()
    return 1 if demo.broken else 0


if __name__ == "__main__":
    sys.exit(main())
