"""Callers of a mesh: threads that send calls at a steady rate."""

import collections
import http.client
import itertools
import threading
import time


class Callers:
    """Threads that call several nodes at a steady rate."""

    def __init__(self, mesh, entries, threads=6, interval=0.02, keyed=False):
        self.mesh = mesh
        self.entries = entries
        self.interval = interval
        self.keyed = keyed
        self.running = True
        self.lock = threading.Lock()
        self.calls = collections.Counter()
        self.failures = collections.Counter()
        self.reasons = collections.Counter()
        self.orders = {}
        self.numbers = itertools.count()
        self.threads = [threading.Thread(target=self.run, args=(n,))
                        for n in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        port = self.mesh.caller_port(self.entries[number % len(self.entries)])
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        due = time.monotonic()
        for step in itertools.count():
            if not self.running:
                break
            self.one_call(connection, step)
            due += self.interval
            time.sleep(max(0.0, due - time.monotonic()))
        connection.close()

    def one_call(self, connection, step):
        kind, method, path, headers, body = self.next_call(step)
        outcome, reason = "no-answer", ""
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            response.read()
            outcome = response.getheader("Amaranth-Outcome", "none")
            reason = response.getheader("Amaranth-Reason", "")
            succeeded = response.status == 200
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            succeeded, reason = False, repr(error)
        with self.lock:
            self.calls[kind] += 1
            if not succeeded:
                self.failures[kind] += 1
                self.reasons[f"{kind}: {outcome}: {reason}"] += 1
            if kind == "order":
                self.orders[headers["X-Order-Id"]] = (succeeded, outcome)

    def next_call(self, step):
        if step % 10 == 0:
            order = f"order-{next(self.numbers)}"
            headers = {"X-Order-Id": order}
            if self.keyed:
                headers["Idempotency-Key"] = order
            return "order", "POST", "/orders", headers, b"{}"
        if step % 10 == 5:
            return "stock", "GET", "/stock/7", {}, None
        if step % 50 == 7:
            return "upload", "POST", "/uploads", {}, b"x" * 200_000
        return "lookup", "GET", "/parts/42", {}, None

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
