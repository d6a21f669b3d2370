"""Heartbeats of other writers at nodes and control replicas, as processes."""

import http.client
import http.server
import json
import os
import signal
import sys
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "util"))

import mesh as meshlib  # noqa: E402

SETTINGS = """platform: true
upstream: {{service: {service}, address: "127.0.0.1:{port}", silence: 10s}}
headers:
  request_id: X-Request-Id
  deadline: X-Deadline-Milliseconds
  whole_milliseconds: true
  class: ""
  signature: X-Response-Signature
  expected_instance: X-Expected-Instance
  not_executed: X-Not-Executed
  caller_service: X-Caller-Service
"""


def call(port, method, path, body=None, headers=None):
    """One request; returns status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


class Backend:
    """Upstream of the platform: answers with a signature and keeps the callers
    that the nodes named."""

    def __init__(self, port, service, instance):
        self.port = port
        self.service = service
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.callers = []
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                backend.callers.append(self.headers.get("X-Caller-Service"))
                self.send_response(200)
                self.send_header("X-Request-Id",
                                 self.headers.get("X-Request-Id", ""))
                self.send_header("X-Response-Signature", "signature")
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"ok")

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", port),
                                                      Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def heartbeat(self, local_port, **changes):
        """Sends one heartbeat with some fields changed; returns the status."""
        self.sequence += 1
        fields = {"instance": self.instance, "service": self.service,
                  "born": self.born, "zone": "z", "sequence": self.sequence,
                  "address": f"127.0.0.1:{self.port}"}
        fields.update(changes)
        body = {"address": fields["address"], "born": fields["born"],
                "info": {"service": fields["service"], "version": "v1",
                         "zone": fields["zone"], "slots": 9},
                "status": {"state": "ready", "sequence": fields["sequence"],
                           "coldRemaining": "0ms"}}
        return call(local_port, "POST",
                    f"/-/Instances.Heartbeat/{fields['instance']}",
                    json.dumps(body), {"Content-Type": "application/json"})[0]

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


def configuration(services):
    def route(name):
        return [f"r-{name}", "shop.example", f"/{name}/", "idempotent", "1200ms",
                "400ms", 1, name, 2, None]
    return json.dumps({
        "version": 3, "baseVersion": 0,
        "routes": {"columns": ["name", "host", "pathPrefix", "kind", "timeout",
                               "targetLatency", "priority", "service",
                               "attempts", "trafficSplit"],
                   "rows": [route(name) for name in services]},
        "services": {"columns": ["name", "healthCheckPath", "maxConnections",
                                 "protocol", "tls"],
                     "rows": [[name, "/health", 130, "h1", False]
                              for name in services]},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeout": "3000ms", "idleTimeout": "15000ms"}})


class Strangers(unittest.TestCase):
    def setUp(self):
        upstreams = [meshlib.Upstream(0, "shop", "v1", "z"),
                     meshlib.Upstream(1, "media", "v1", "z")]
        folder = os.path.join(ROOT, "build", "process-tests", self.id())
        self.mesh = meshlib.Mesh(folder, 25000, 3, upstreams, "region")
        self.addCleanup(self.mesh.stop_all)
        for replica in range(3):
            self.mesh.start_control(replica)
        self.backends = []
        for upstream in upstreams:
            self.start_node(upstream.index, upstream.service)
            backend = Backend(self.mesh.upstream_port(upstream.index),
                              upstream.service, f"i-{upstream.index}")
            self.addCleanup(backend.stop)
            self.backends.append(backend)
        self.apply(["shop", "media", "depot"])
        meshlib.wait_until(lambda: self.caller_of_media() == "shop", 20,
                           "requests of node 0 reach media")

    def start_node(self, index, service):
        self.mesh.start_node(self.mesh.upstreams[index], SETTINGS.format(
            service=service, port=self.mesh.upstream_port(index)))

    def apply(self, services):
        def attempt():
            return call(self.mesh.leader_port(), "POST",
                        "/-/Configuration.Replace",
                        configuration(services))[0] == 200
        meshlib.wait_until(attempt, 20, "the configuration is acknowledged")

    def beat(self):
        for index, backend in enumerate(self.backends):
            backend.heartbeat(self.mesh.local_port(index))

    def caller_of_media(self):
        """Who the caller of a request of node 0 is, as media sees it."""
        self.beat()
        media = self.backends[1]
        media.callers.clear()
        status, _, _ = call(self.mesh.caller_port(0), "GET", "/media/x",
                            headers={"Host": "shop.example",
                                     "X-Request-Id": "0123456789abcdef",
                                     "X-Deadline-Milliseconds": "1200"})
        return media.callers[-1] if status == 200 and media.callers else None

    def upstream_service(self):
        gate = self.mesh.node_dump(0)["gate"]
        return gate.get("upstream", {}).get("service")

    def change_service(self, service):
        path = os.path.join(self.mesh.folder, "node-0.yaml")
        with open(path, encoding="utf-8") as file:
            text = file.read()
        old = text.split("service: ")[1].split(",")[0]
        self.mesh.write("node-0.yaml", text.replace(f"service: {old}",
                                                    f"service: {service}"))

    def test_a_stranger_changes_neither_caller_nor_upstream(self):
        # Guards against one heartbeat of another writer after which requests
        # carried its service as their caller, until the node was restarted.
        changes = [{"service": "nobody"}, {"service": "nobody", "zone": 7},
                   {"zone": 7}, {"zone": ""}, {"born": "now"},
                   {"sequence": "1"}, {"address": "127.0.0.1:1"}]
        for change in changes:
            status = self.backends[0].heartbeat(
                self.mesh.local_port(0), instance="i-unknown",
                **{"born": self.backends[0].born + 1000, "sequence": 1,
                   **change})
            self.assertEqual(status, 400, change)
            self.assertEqual(self.caller_of_media(), "shop", change)
            self.assertEqual(self.upstream_service(), "shop", change)
        self.assertEqual(self.backends[0].heartbeat(self.mesh.local_port(0)),
                         200)

    def test_settings_change_the_caller(self):
        # Guards against a node that keeps the service with which it started,
        # or refuses the upstream of the new one.
        for service, signaled in (("depot", False), ("shop", True)):
            self.change_service(service)
            if signaled:
                self.mesh.send_signal("node-0", signal.SIGHUP)
            self.backends[0].service = service
            self.backends[0].instance = f"i-{service}-{signaled}"
            self.backends[0].born += 1000
            meshlib.wait_until(lambda: self.caller_of_media() == service, 10,
                               f"requests come from {service}")
            meshlib.wait_until(lambda: self.upstream_service() == service, 10,
                               f"the upstream is of {service}")

    def test_control_replicas_take_no_heartbeats(self):
        # Guards against an upstream that another writer offers to the mesh
        # through a control replica.
        for replica in range(3):
            status = self.backends[0].heartbeat(
                self.mesh.control_port(replica), service="nobody")
            self.assertEqual(status, 404)
        self.assertEqual(self.caller_of_media(), "shop")
        members = self.mesh.node_dump(0)["distribution"]["members"]
        self.assertEqual({m.get("s") for m in members.values()},
                         {"shop", "media"})


if __name__ == "__main__":
    unittest.main()
