"""Two operators choose the same version number for different changes."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import harness as h  # noqa: E402


def body(site):
    sidecar = site.add_sidecar(1, "shop")
    site.start_all()
    backend = h.Backend(site, sidecar, "shop", "i-1")
    backend.start()
    backend.beat_regularly()
    first, second = h.Operator(site, "operator A"), h.Operator(site, "operator B")
    routes = [h.route("r-parts", "/parts/", "shop")]
    base = h.configuration(3, 0, routes, [h.service_row("shop")])
    answer = first.order("POST", "/-/Configuration.Replace", base, "version 3")
    if not answer or answer[0] != 200:
        raise h.CannotRun("the first configuration was not accepted")
    # Both build on version 3, and both choose the number 7.
    changes = {
        first: h.configuration(7, 3, routes,
                               [h.service_row("shop", "/health/a")]),
        second: h.configuration(7, 3, routes,
                                [h.service_row("shop", "/health/b")])}
    if not h.TROUBLE:
        del changes[second]
    answers = {}

    def send(operator):
        answers[operator] = operator.order(
            "POST", "/-/Configuration.Replace", changes[operator],
            f"version 7 on 3, healthCheckPath "
            f"{json.loads(changes[operator])['services']['rows'][0][1]}")
    threads = [threading.Thread(target=send, args=(o,)) for o in changes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    acknowledged = [o for o in changes if answers[o] and answers[o][0] == 200]
    if not acknowledged:
        raise h.CannotRun("no change was acknowledged")
    time.sleep(h.CONFIG_APPLY + h.STABILITY_WINDOW)
    read = first.order("GET", "/-/Configuration.Read")
    if not read:
        raise h.CannotRun("the configuration cannot be read")
    found = json.loads(read[1])
    lost = [o for o in acknowledged if found != json.loads(changes[o])]
    for operator in acknowledged:
        site.record(f"{operator.name}: acknowledged, and " +
                    ("not what is read back" if operator in lost
                     else "read back"))
    return len(acknowledged) == 1 and not lost


sys.exit(h.run_case(HERE, body))
