"""A heartbeat comes from another writer and names a service that nobody has."""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import harness as h  # noqa: E402


def body(site):
    shop = [site.add_sidecar(1, "shop"), site.add_sidecar(2, "shop")]
    media = [site.add_sidecar(3, "media")]
    site.start_all()
    backends = {}
    for machine in shop + media:
        backend = h.Backend(site, machine, machine.fields["service"],
                            f"i-{machine.name}")
        backend.start()
        backend.beat_regularly()
        backends[machine] = backend
    operator = h.Operator(site)
    first = h.configuration(
        3, 0, [h.route("r-parts", "/parts/", "shop"),
               h.route("r-media", "/media/", "media")],
        [h.service_row("shop"), h.service_row("media")])
    answer = operator.order("POST", "/-/Configuration.Replace", first,
                            "version 3")
    if not answer or answer[0] != 200:
        raise h.CannotRun("the first configuration was not accepted")
    site.wait_ready([m.name for m in backends])
    client = h.Client(site, shop[0])
    h.wait_until(lambda: client.send("GET", "/media/x")[2] == 200, 20,
                 "the service media is served")
    beside = backends[shop[0]]
    h.wait_until(lambda: client.send("GET", "/parts/x")[2] == 200 and
                 beside.count() > 0, 20, "the backend beside the client is used")
    # All machines are in touch.
    time.sleep(h.STABILITY_WINDOW + 0.5)

    if h.TROUBLE:
        # The disruption: one heartbeat of another writer. All its fields are
        # present and well formed, but nobody has that service.
        status, _, _ = h.call(
            f"{shop[0].address}:{h.LOCAL}", "POST",
            "/-/Instances.Heartbeat/i-unknown", json.dumps({
                "address": beside.address, "born": int(time.time() * 1000),
                "info": {"service": "nobody", "version": "v1",
                         "zone": shop[0].fields["zone"], "slots": 9},
                "status": {"state": "ready", "sequence": 1,
                           "coldRemaining": "0ms"}}),
            {"Content-Type": "application/json"})
        site.record(f"another writer sends one Heartbeat of i-unknown (service "
                    f"nobody) to {shop[0].name} -> {status}")
    # Longer than four heartbeats of the real backend.
    idents = []
    used_before = beside.count()
    end = time.monotonic() + 8
    while time.monotonic() < end:
        idents.append(client.send("GET", "/media/y")[0])
        client.send("GET", "/parts/y")
        time.sleep(0.1)
    callers = [caller for backend in site.backends
               for ident, caller in backend.callers if ident in idents]
    wrong = [caller for caller in callers if caller != "shop"]
    site.record(f"{len(callers)} of {len(idents)} requests that began at "
                f"{shop[0].name} (service shop) ran at media; "
                f"{len(wrong)} of them with another X-Caller-Service: "
                f"{sorted(set(wrong))}")
    site.record(f"requests at the backend beside {shop[0].name} in these 8 s: "
                f"{beside.count() - used_before}")
    if not callers:
        raise h.CannotRun("the requests were not served")
    return not wrong


sys.exit(h.run_case(HERE, body))
