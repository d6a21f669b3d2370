"""An acknowledged change is sent again while the core starts again."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import harness as h  # noqa: E402

ROUNDS = 60
SENDERS = 8             # orders in progress at once


def body(site):
    site.start_all()
    operator = h.Operator(site)
    services = [h.service_row("shop")]

    def change(version, base):
        return h.configuration(
            version, base, [h.route("r-parts", "/parts/", "shop",
                                    timeout=f"{1000 + version}ms")], services)
    version = 0
    for following in (3, 5, 8):
        answer = operator.order("POST", "/-/Configuration.Replace",
                                change(following, version),
                                f"version {following} on {version}")
        if not answer or answer[0] != 200:
            raise h.CannotRun("a configuration was not accepted")
        base, version = version, following
    newest = change(version, base)
    refused = []
    for number in range(ROUNDS):
        if h.TROUBLE:
            # The disruption: all processes of the core are killed at the same
            # moment and are back within a second. Their disks are kept.
            site.kill(*site.core_names)
            time.sleep(0.3)
            for name in site.core_names:
                site.start(name)
        answers = []

        def again(index):
            time.sleep(0.02 * index)
            sender = h.Operator(site, f"operator {index + 1}")
            answers.append(sender.order(
                "POST", "/-/Configuration.Replace", newest,
                f"version {version} on {base}, again", first_pause=0.05,
                growth=1.2))
        threads = [threading.Thread(target=again, args=(i,))
                   for i in range(SENDERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        wrong = [a[0] for a in answers if a and a[0] != 200]
        site.record(f"round {number + 1}: {len(answers)} answers, refused: "
                    f"{wrong}")
        refused += wrong
        if refused or time.monotonic() - site.record.start > 100:
            break
        time.sleep(0.5)
    return not refused


sys.exit(h.run_case(HERE, body, cores=5))
