"""Measures control traffic, processor time, memory and convergence of a mesh of
node processes on loopback, without upstreams."""

import argparse
import os
import time

import mesh as meshlib

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ZONES = 4

SET = """version: {version}
zones:
{zones}services:
  - {{name: catalogue, versions: [v1]}}
routes:
  - {{name: parts, method: GET, path_prefix: /parts, service: catalogue, timeout: {timeout}ms}}
"""


def configuration(version):
    zones = "".join(f"  - {{name: zone-{z}, region: region-0}}\n"
                    for z in range(ZONES))
    return SET.format(version=version, zones=zones, timeout=1000 + version)


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE / 1e6


class Sample:
    """Counters of all nodes and of the leader at one time."""

    def __init__(self, mesh, leader):
        self.time = time.monotonic()
        self.bytes = []
        self.cpu = []
        for upstream in mesh.upstreams:
            metrics = mesh.node_dump(upstream.index)["metrics"]
            self.bytes.append(sum(
                metrics.get(key, 0) for key in
                ("control_bytes_in_total", "control_bytes_out_total",
                 "relay_bytes_in_total", "relay_bytes_out_total")))
            self.cpu.append(cpu_seconds(mesh.processes[f"node-{upstream.index}"]))
        metrics = meshlib.get_json(mesh.base + leader, "/v1/dump")[1]["metrics"]
        self.leader_bytes = (metrics["sync_bytes_in_total"]
                             + metrics["sync_bytes_out_total"])
        self.leader_cpu = cpu_seconds(mesh.processes[f"control-{leader}"])


def rates(before, after):
    seconds = after.time - before.time
    nodes = sorted((b - a) / seconds
                   for a, b in zip(before.bytes, after.bytes))
    cpu = sorted((b - a) / seconds for a, b in zip(before.cpu, after.cpu))
    return {
        "node B/s, mean": sum(nodes) / len(nodes),
        "node B/s, most": nodes[-1],
        "node processor, % of a core, mean": 100 * sum(cpu) / len(cpu),
        "node processor, % of a core, most": 100 * cpu[-1],
        "leader B/s": (after.leader_bytes - before.leader_bytes) / seconds,
        "leader processor, % of a core":
            100 * (after.leader_cpu - before.leader_cpu) / seconds,
    }


def show(title, figures):
    print(title)
    for name, value in figures.items():
        print(f"  {name:<36}{value:>12.1f}")


def measure(mesh, count, seconds, changes):
    started = time.monotonic()
    for replica in range(3):
        mesh.start_control(replica)
    for upstream in mesh.upstreams:
        mesh.start_node(upstream)
    meshlib.wait_until(mesh.status, 30, "a control leader")
    meshlib.wait_until(lambda: mesh.status()["in_force"]["of"] == count, 120,
                       "all nodes known")
    show(f"{count} nodes", {"s until all are known": time.monotonic() - started})
    mesh.submit(configuration(1))
    time.sleep(10)  # The member table of a new leader is complete after 8 s.
    leader = mesh.leader_port() - mesh.base
    before = Sample(mesh, leader)
    time.sleep(seconds)
    show("quiet", rates(before, Sample(mesh, leader)))
    took = []
    before = Sample(mesh, leader)
    for version in range(2, 2 + changes):
        accepted_ms = time.time() * 1000
        revision = mesh.submit(configuration(version))[1]["revision"]
        meshlib.wait_until(
            lambda: mesh.status()["in_force"]["everywhere"], 30, "in force")
        took.append(mesh.convergence_ms(revision, accepted_ms))
    after = Sample(mesh, leader)
    show(f"{changes} changes in {after.time - before.time:.1f} s",
         {"ms until in force everywhere, worst": max(took),
          "node bytes for each change, mean":
              sum(b - a for a, b in zip(before.bytes, after.bytes))
              / count / changes,
          "leader bytes for each change":
              (after.leader_bytes - before.leader_bytes) / changes})
    memory = [resident_mb(p) for name, p in mesh.processes.items()
              if name.startswith("node-")]
    show("memory", {"node MB, most": max(memory),
                    "leader MB": resident_mb(mesh.processes[f"control-{leader}"])})


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=13)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--changes", type=int, default=5)
    options = parser.parse_args()
    upstreams = [meshlib.Upstream(i, "catalogue", "v1", f"zone-{i % ZONES}")
                 for i in range(options.nodes)]
    folder = os.path.join(meshlib.ROOT, "build", "scale")
    mesh = meshlib.Mesh(folder, 28000, 3, upstreams, "region-0", stride=400)
    try:
        measure(mesh, options.nodes, options.seconds, options.changes)
    finally:
        mesh.stop_all()


if __name__ == "__main__":
    main()
