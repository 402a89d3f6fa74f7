"""Checks the rules from what callers and targets see: at most once, true refusals, whole answers to the right request."""
import collections
import hashlib

PROMISES = (408, 421, 429, 503)


def body_of(attempt, target, run, size):
    """The body of a run's answer. Each line names request, target, run and offset, so that any foreign or torn byte shows."""
    lines, length = [], 0
    while length < size:
        line = f"{attempt} {target} {run} {length:08d}\n"
        lines.append(line)
        length += len(line)
    return "".join(lines)[:size].encode()


def seal_of(attempt, target, run):
    return f"{attempt}.{target}.{run}"


class Request:
    """What a caller sent under one attempt id, and what became of it."""

    def __init__(self, route, kind, method, path, body, entry, sent_at, always_allowed=True):
        self.route, self.kind, self.method, self.path = route, kind, method, path
        self.always_allowed = always_allowed  # Whether every configuration of the run has its route and key.
        self.digest = hashlib.sha256(body).digest()
        self.entry, self.sent_at = entry, sent_at
        self.bound = float("inf")  # Seconds from its sending in which an answer is owed.
        self.runs = []
        self.promise = None
        self.failed_at = None  # When an answer that promises nothing and bears no seal came.


class Run:
    """One run of a request at a target. `clean` turns false when the target breaks the answer off."""

    def __init__(self, attempt, target, service, number, status, size):
        self.attempt, self.target, self.service, self.number = attempt, target, service, number
        self.status, self.size = status, size
        self.answered, self.clean = False, True
        self.cut_by_peer = False

    @property
    def seal(self):
        return seal_of(self.attempt, self.target, self.number)


class Violation:
    def __init__(self, rule, attempt, text):
        self.rule, self.attempt, self.text = rule, attempt, text

    def __str__(self):
        return f"{self.rule} {self.attempt}: {self.text}"


class Checker:
    """Collects what callers sent and received and what targets ran, and finds what breaks a rule.

    `allowed` names for each route the services that any configuration ever sent allows; `disturbed(entry, since, until)` tells
    whether an unplanned fault may excuse a lost answer, `planned` likewise whether planned work went on.
    """

    def __init__(self, timeline, allowed, planned=lambda *_: False, disturbed=lambda *_: False):
        self.timeline, self.allowed = timeline, allowed
        self.planned, self.disturbed = planned, disturbed
        self.requests = {}
        self.violations = []
        self.counts = collections.Counter()
        self.denied = []
        self.cold_arrivals = collections.defaultdict(list)  # By process: (arrival, when the caller sent it).

    def violate(self, rule, attempt, text):
        it = Violation(rule, attempt, text)
        self.violations.append(it)
        self.timeline("VIOLATION", it)

    def sent(self, attempt, request):
        self.requests[attempt] = request
        self.counts["requests"] += 1

    def ran(self, target, service, message, status, size):
        """A target begins to run a request. Returns the run."""
        attempt = message.headers.get("attempt-id", "")
        request = self.requests.get(attempt)
        if request is None:
            self.violate("UNASKED", attempt, f"target {target} runs an id that no caller sent")
            return Run(attempt, target, service, 1, status, size)
        run = Run(attempt, target, service, len(request.runs) + 1, status, size)
        request.runs.append(run)
        self.counts["runs"] += 1
        self.timeline("run", attempt, "at", target, "status", status)
        method, path, _ = message.first.split(" ")
        if (method, path, hashlib.sha256(message.body).digest()) != (request.method, request.path, request.digest):
            self.violate("UNASKED", attempt, f"target {target} runs it with method, path or body changed")
        if "authorization" in message.headers or message.headers.get("tenant") != "tenant1":
            self.violate("UNASKED", attempt, f"target {target} runs it with another tenant or with the key")
        if service not in self.allowed(request.route):
            self.violate("ROUTE", attempt, f"service {service} runs a request of route {request.route}")
        if request.kind == "unsafe":
            if len(request.runs) > 1:
                self.violate("TWICE", attempt, "runs at " + ", ".join(it.target for it in request.runs))
            if request.promise:
                self.violate("REFUSED", attempt, f"was answered {request.promise} and runs later at {target}")
        return run

    def body_read_late(self, attempt, body):
        """A target has read the body of a request that it had answered before."""
        request = self.requests.get(attempt)
        if request is None or hashlib.sha256(body).digest() != request.digest:
            self.violate("UNASKED", attempt, "other bytes come where the rest of its body is due")

    def answered(self, attempt, response):
        """A caller receives a whole answer."""
        request, status, headers = self.requests[attempt], response.status, response.headers
        self.counts[f"status {status}"] += 1
        self.timeline("answer", attempt, status, "from", request.entry)
        if headers.get("attempt-id", attempt) != attempt:
            self.violate("MIXED", attempt, f"gets an answer to {headers['attempt-id']}")
        if "content-encoding" in headers:
            self.violate("MIXED", attempt, "gets an encoded body")
        self.check_seal(attempt, request, response)
        if status >= 500 and status != 503 and "response-seal" not in headers:
            request.failed_at = self.timeline.now()
        if 300 <= status < 500 and status not in PROMISES and request.always_allowed:
            self.denied.append(attempt)
        if request.kind == "unsafe" and status in PROMISES:
            request.promise = status
            if request.runs:
                self.violate("REFUSED", attempt, f"is answered {status} and ran at {request.runs[0].target}")

    def check_seal(self, attempt, request, response):
        seal = response.headers.get("response-seal")
        success = 200 <= response.status < 300
        run = next((it for it in request.runs if it.seal == seal), None)
        if success and run is None:
            self.violate("MIXED", attempt, f"gets {response.status} with seal {seal}, which is of no run of it")
        elif seal is not None and run is None:
            self.violate("MIXED", attempt, f"gets {response.status} with the foreign seal {seal}")
        elif run is not None and response.status != run.status:
            self.violate("MIXED", attempt, f"gets {response.status} with the seal of a run that answered {run.status}")
        elif success and response.body != body_of(attempt, run.target, run.number, run.size):
            self.violate("MIXED", attempt, f"gets {len(response.body)} bytes that are not the {run.size} of its run")

    def malformed(self, attempt, text):
        """A caller receives bytes that are no answer."""
        self.violate("MIXED", attempt, f"gets bytes that are no answer: {text}")

    def unexpected(self, entry, data):
        """A caller receives bytes on a connection on which no request waits."""
        if not data.startswith(b"HTTP/1.1 ") or data.startswith(b"HTTP/1.1 2"):
            self.violate("MIXED", "-", f"{entry} sends {data[:60]!r} on a connection with no request waiting")

    def closed(self, attempts, now):
        """A caller's connection ends with these requests, in their order, unanswered. An answer that its target broke off ends
        the connection for all behind it."""
        excused = False
        for it in attempts:
            request = self.requests[it]
            self.counts["no answer"] += 1
            self.timeline("closed", it, "by", request.entry)
            excused = excused or not all(run.clean for run in request.runs)
            if excused or not request.runs or now - request.sent_at >= 0.7 * request.bound:
                continue
            if self.planned(request.entry, request.sent_at, now) and not self.disturbed(request.entry, request.sent_at, now):
                self.violate("LOST", it, f"ran at {request.runs[0].target}, and {request.entry} closed without an answer")

    def check_denied(self):
        """At the end of a run: some few proper requests may be ended with a 3xx or 4xx."""
        if len(self.denied) > 5 + self.counts["requests"] / 500:
            self.violate("DENIED", self.denied[0], f"and {len(self.denied) - 1} others are ended though they are allowed")

    def reached_cold(self, process, attempt):
        """A request arrives at a process that is cold."""
        now, request = self.timeline.now(), self.requests.get(attempt)
        self.cold_arrivals[process].append((now, request.sent_at if request else now))
        self.timeline("reaches cold", attempt, "at", process)

    def check_cold(self, allowed):
        """At the end of a run: in no second more than `allowed` requests may be sent to a cold process and arrive there. Requests
        that wait on a silent link and arrive together were not all sent in that second."""
        for process, arrivals in self.cold_arrivals.items():
            most = max(sum(end - 1 < sent and at <= end for at, sent in arrivals) for end, _ in arrivals)
            self.counts["most in a cold second"] = max(self.counts["most in a cold second"], most)
            if most > allowed:
                self.violate("COLD", "-", f"cold process {process} gets {most} requests in one second, allowed {allowed:g}")

    def check_replaced(self):
        """At the end of a run: a planned stop may not cut a sound run and put an answer of its own in its place."""
        for attempt, it in self.requests.items():
            if it.failed_at is None or it.failed_at - it.sent_at >= 0.7 * it.bound:
                continue
            cut = [run for run in it.runs if run.cut_by_peer]
            if cut and all(run.clean for run in it.runs) and self.planned(it.entry, it.sent_at, it.failed_at) \
                    and not self.disturbed(it.entry, it.sent_at, it.failed_at):
                self.violate("LOST", attempt, f"{it.entry} broke off its run at {cut[0].target} and answered itself")

    def given_up(self, attempt):
        self.counts["given up"] += 1
        self.timeline("given up", attempt)
