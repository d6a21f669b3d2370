"""A route that is added must not take requests that it does not match."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import harness as h  # noqa: E402


def body(site):
    shop = [site.add_sidecar(1, "shop"), site.add_sidecar(2, "shop")]
    media = [site.add_sidecar(3, "media"), site.add_sidecar(4, "media")]
    site.start_all()
    for machine in shop + media:
        backend = h.Backend(site, machine, machine.fields["service"],
                            f"i-{machine.name}")
        backend.start()
        backend.beat_regularly()
    operator = h.Operator(site)
    services = [h.service_row("shop"), h.service_row("media")]
    routes = [h.route("r-parts", "/parts/", "shop"),
              h.route("r-media", "/media/", "media")]
    first = h.configuration(3, 0, routes, services)
    answer = operator.order("POST", "/-/Configuration.Replace", first,
                            "version 3")
    if not answer or answer[0] != 200:
        raise h.CannotRun("the first configuration was not accepted")
    site.wait_ready([m.name for m in shop + media])
    client = h.Client(site, shop[0])
    h.wait_until(lambda: client.send("GET", "/parts/x")[2] == 200 and
                 client.send("GET", "/media/x")[2] == 200, 20,
                 "both services are served")
    if h.TROUBLE:
        # The disruption: the configuration changes, a route is added.
        routes.append(h.route("r-photos", "/parts/photos/", "media"))
        second = h.configuration(5, 3, routes, services)
        answer = operator.order("POST", "/-/Configuration.Replace", second,
                                "version 5 adds /parts/photos/ -> media")
        if not answer or answer[0] != 200:
            raise h.CannotRun("the change was not accepted")
        time.sleep(h.CONFIG_APPLY + 1)
        if client.send("GET", "/parts/photos/1")[4][:5] != b"media":
            raise h.CannotRun("the added route does not serve")
    # In every configuration that was sent, /parts/ is the only prefix that
    # begins this path, so only the service shop may run it.
    idents = [client.send("GET", "/parts/photos")[0] for _ in range(10)]
    wrong = [b.service for b in site.backends for _, ident, _ in b.runs
             if ident in idents and b.service != "shop"]
    right = sum(ident in idents for b in site.backends
                if b.service == "shop" for _, ident, _ in b.runs)
    site.record(f"{len(idents)} requests for /parts/photos: {right} runs at "
                f"shop, {len(wrong)} at another service")
    if not wrong and right < len(idents):
        raise h.CannotRun("the requests were not served")
    return not wrong


sys.exit(h.run_case(HERE, body))
