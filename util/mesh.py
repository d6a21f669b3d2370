"""Starts and stops a small mesh on loopback, for the demonstration and the
process tests.

Addresses: control replica i at 127.0.0.1:BASE+i; node i has its callers'
listener at BASE+STRIDE+i, its peer listener at BASE+2*STRIDE+i, its local
listener at BASE+3*STRIDE+i and its upstream at BASE+4*STRIDE+i.
"""

import http.client
import json
import os
import shutil
import signal
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "build/src/amaranthward/amaranthward")
CTL = os.path.join(ROOT, "build/src/amaranthctl/amaranthctl")
# Nodes that knew each other for this time before a service appeared can tell
# at once that no claim on an idempotency key exists.
FOUNDING_SECONDS = 4.5
UPSTREAM = os.path.join(ROOT, "build/tests/fakes/fakeupstream")


def get_json(port, path, timeout=3.0):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        return response.status, json.loads(body) if body else None
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Polls the condition; raises TimeoutError naming what was awaited."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, ValueError, TypeError):
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {seconds} s: {what}")


class Upstream:
    """One upstream VM: the upstream and the node beside it."""

    def __init__(self, index, service, version, zone):
        self.index = index
        self.service = service
        self.version = version
        self.zone = zone
        self.name = f"{service}-{index}"


class Mesh:
    def __init__(self, folder, base, replicas, upstreams, region, stride=100):
        self.folder = folder
        self.base = base
        self.stride = stride
        self.replicas = replicas
        self.upstreams = upstreams
        self.region = region
        self.processes = {}
        shutil.rmtree(folder, ignore_errors=True)
        os.makedirs(folder)

    # Addresses.
    def control_port(self, replica):
        return self.base + replica

    def caller_port(self, index):
        return self.base + self.stride + index

    def peer_port(self, index):
        return self.base + 2 * self.stride + index

    def local_port(self, index):
        return self.base + 3 * self.stride + index

    def upstream_port(self, index):
        return self.base + 4 * self.stride + index

    def control_list(self):
        return ",".join(f"127.0.0.1:{self.control_port(r)}"
                        for r in range(self.replicas))

    # Processes.
    def spawn(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen(arguments, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        log.close()
        self.processes[name] = process
        return process

    def start_control(self, replica):
        peers = "\n".join(
            f'  - {{name: control-{r}, address: "127.0.0.1:{self.control_port(r)}"}}'
            for r in range(self.replicas) if r != replica)
        text = (f"name: control-{replica}\nzone: control-zone-{replica}\n"
                f'listen: "127.0.0.1:{self.control_port(replica)}"\n'
                f"peers:\n{peers}\n"
                f"data_folder: {self.folder}/control-{replica}\n"
                "platform: true\n")
        path = self.write(f"control-{replica}.yaml", text)
        self.spawn(f"control-{replica}",
                   [DAEMON, "control", f"--settings={path}"])

    def witnesses(self, upstream):
        return [u for u in self.upstreams
                if u.zone == upstream.zone and u.index != upstream.index][:2]

    def start_node(self, upstream, more_settings=""):
        i = upstream.index
        control = ", ".join(f'"127.0.0.1:{self.control_port(r)}"'
                            for r in range(self.replicas))
        witnesses = ", ".join(f'"127.0.0.1:{self.peer_port(w.index)}"'
                              for w in self.witnesses(upstream))
        text = (f"name: {upstream.name}\nzone: {upstream.zone}\n"
                f"region: {self.region}\n"
                f'listen: "127.0.0.1:{self.caller_port(i)}"\n'
                f'peer_listen: "127.0.0.1:{self.peer_port(i)}"\n'
                f'local_listen: "127.0.0.1:{self.local_port(i)}"\n'
                f"control: [{control}]\nwitnesses: [{witnesses}]\n"
                f"{more_settings}")
        path = self.write(f"node-{i}.yaml", text)
        self.spawn(f"node-{i}", [DAEMON, "node", f"--settings={path}"])

    def start_upstream(self, upstream, *flags):
        i = upstream.index
        self.spawn(f"upstream-{i}", [
            UPSTREAM, f"--listen=127.0.0.1:{self.upstream_port(i)}",
            f"--announce=127.0.0.1:{self.local_port(i)}",
            f"--service={upstream.service}", f"--service_version={upstream.version}",
            *flags])

    def start_all(self):
        for replica in range(self.replicas):
            self.start_control(replica)
        for upstream in self.upstreams:
            self.start_node(upstream)
            self.start_upstream(upstream)

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop(self, name, number=signal.SIGTERM, seconds=10):
        process = self.processes.pop(name)
        process.send_signal(number)
        try:
            return process.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    # Operators' view.
    def ctl(self, *arguments, timeout=60):
        done = subprocess.run(
            [CTL, f"--control={self.control_list()}", *arguments],
            capture_output=True, text=True, timeout=timeout, check=False)
        return done.returncode, done.stdout, done.stderr

    def submit(self, text, first=0):
        """Posts a set, following the replicas to the leader. Returns the
        status code and the answer, or (0, None) when no replica answered."""
        ports = [self.control_port((first + n) % self.replicas)
                 for n in range(self.replicas)]
        answer = (0, None)
        for port in ports:
            connection = http.client.HTTPConnection("127.0.0.1", port,
                                                    timeout=5)
            try:
                connection.request("POST", "/v1/configurations", body=text)
                response = connection.getresponse()
                answer = (response.status, json.loads(response.read()))
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
            if response.status not in (421, 503):
                return answer
        return answer

    def status(self):
        for replica in range(self.replicas):
            try:
                code, body = get_json(self.control_port(replica), "/v1/status")
            except OSError:
                continue
            if code == 200:
                return body
        return None

    def events(self, after=0):
        _, body = get_json(self.leader_port(), f"/v1/moves?after={after}")
        return body["events"]

    def leader_port(self):
        for replica in range(self.replicas):
            try:
                code, _ = get_json(self.control_port(replica), "/v1/status")
            except OSError:
                continue
            if code == 200:
                return self.control_port(replica)
        raise OSError("no control replica leads")

    def node_dump(self, index):
        return get_json(self.local_port(index), "/v1/dump")[1]

    def executions(self, index):
        return get_json(self.upstream_port(index), "/executions")[1]

    def wait_members(self, count, seconds=20):
        """Waits until every node sees the members of that many upstreams."""
        def ready():
            for upstream in self.upstreams:
                members = self.node_dump(upstream.index)["distribution"]["members"]
                if sum(1 for m in members.values() if m.get("s")) < count:
                    return False
            return True
        wait_until(ready, seconds, f"{count} upstreams known everywhere")

    def convergence_ms(self, revision, accepted_ms):
        """Longest time until a node had the revision or a later one in force."""
        worst = 0.0
        for upstream in self.upstreams:
            log = self.node_dump(upstream.index)["distribution"]["in_force_log"]
            first = min((entry["at_ms"] for entry in log
                         if entry["revision"] >= revision), default=None)
            if first is None:
                return None
            worst = max(worst, first - accepted_ms)
        return worst
