"""A simulated host of the decision module, with seeded random cores, callers and dependency.

The host sends events over a link (`WireLink` or `DirectLink`), carries out the actions that it receives, and
records them in a transcript. The transcript omits the names of timers and the words of log messages, but
contains the numbers in log messages.
"""

import re
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from tests.pins.adapter import WireLink
from tests.pins.scenarios import KEYED, MS, ONCE, SCENARIOS, SECOND, make_settings


@dataclass
class Request:
    identifier: str
    method_index: int  # index of its method in the settings
    key: str
    attempt: int
    deadline: int
    work: float  # remaining processor time in microseconds
    work_at_call: float  # remaining work at which the run reaches its call; negative: no call
    state: str = "queued"  # or "running", "waiting", "calling", "paused", "sharing", "finished"
    schedule_version: int = 0  # scheduled events with an older version are ignored
    started_at: int = 0  # start of the current run or call
    slowdown: float = 1.0  # elapsed time per unit of work
    answered: bool = False


def may_be_duplicated(message, fields):
    """Return whether a duplicate of this event is consistent with the first one."""
    if message in ("WOUND_UP", "DOWNSTREAM"):
        return fields["how"] == 200
    return message in ("LEFT", "WANTS_CALL")


class SimulatedHost:
    """Simulates cores, callers and a dependency; sends events over a link and carries out the actions."""

    ARRIVAL_TIME = 3 * SECOND  # new RPCs arrive during this time from the start of the run
    RUN_TIME = 5 * SECOND

    def __init__(self, link, name, seed):
        self.link = link
        self.scenario = SCENARIOS[name]
        self.random = Random(f"{name} {seed}")
        self.settings = make_settings(self.scenario, self.random)
        self.cores = self.settings["familyInfo.cores"]
        self.began_at = self.now = 10 * SECOND + self.random.randrange(SECOND)
        self.scheduled, self.sequence, self.arrived = [], 0, 0
        self.requests, self.idempotency_keys, self.level = {}, {}, 0.0
        self.transcript = []

    def run(self):
        """Run the scenario; return the transcript."""
        self.schedule(self.began_at, self.create)
        self.schedule(self.began_at + 5 * MS, self.new_request)
        if self.scenario.drains:
            self.schedule(self.began_at + 1500 * MS, self.drain)
        if self.scenario.is_killed:
            self.schedule(self.began_at + 1500 * MS, self.kill)
        if "restarted" in self.scenario.fleet_inputs:
            self.schedule(self.began_at + 1000 * MS, self.restart_worker_pool)
        while self.scheduled and self.scheduled[0][0] < self.began_at + self.RUN_TIME:
            self.now = max(self.now + self.settings["round"], self.scheduled[0][0])
            events = []
            while self.scheduled and self.scheduled[0][0] <= self.now:
                _, _, act, request, version = heappop(self.scheduled)
                if request is None or request.schedule_version == version:
                    events += act(*(() if request is None else (request,)))
            if events and self.random.random() < 0.03:
                events += [event for event in events if may_be_duplicated(*event)]
            if events:
                self.transcript.append(f"at {self.now - self.began_at}")
                for action, fields in self.link.exchange(self.now, events):
                    self.apply_action(action, fields)
        return self.transcript

    def schedule(self, at, act, request=None):
        if request is not None:
            request.schedule_version += 1
        self.sequence += 1
        version = request.schedule_version if request else 0
        heappush(self.scheduled, (int(at), self.sequence, act, request, version))

    # Occurrences in the simulation: each method returns the events that it sends.

    def create(self):
        return [("CREATE", {"randomSeed": self.random.randrange(2**50)} | self.settings)]

    def kill(self):
        self.requests, self.idempotency_keys, self.scheduled = {}, {}, []
        self.schedule(self.now + 300 * MS, self.new_request)
        return [("KILL", {}), *self.create()]

    def drain(self):
        return [("DRAIN", {"expires": self.now + 2 * SECOND})]

    def restart_worker_pool(self):
        ended = [r for r in self.requests.values() if r.state in ("running", "paused", "waiting", "calling")]
        return [e for r in ended for e in self.end_run(r, 502)] + [("RESTARTED", {"cold": True})]

    def new_request(self):
        elapsed = self.now - self.began_at
        if elapsed < self.ARRIVAL_TIME:
            # Low load in the first second, four times as much in the next one, then low load again.
            load = self.scenario.load * (2.0 if SECOND < elapsed < 2 * SECOND else 0.5)
            gap = self.random.expovariate(load * self.cores / self.scenario.mean_work)
            self.schedule(self.now + gap, self.new_request)
        method_index = self.random.randrange(len(self.scenario.effects))
        return self.arrival(method_index, f"key-{self.arrived}", 0)

    def arrival(self, method_index, key, attempt, copy_of=None):
        draw = self.random.random
        place = draw()
        if place < self.level and draw() < 0.5:
            return []  # a caller that respects the shed level
        self.arrived += 1
        work = self.scenario.mean_work * (0.3 + 1.4 * draw()) * (3 if draw() < 0.1 else 1)
        waited = int(draw() * 20 * MS) + (200 * MS if draw() < 0.05 else 0)
        deadline = self.now - waited + self.settings[f"services.{method_index}.deadline"]
        calls = draw() < self.scenario.call_fraction
        request = Request(
            f"{self.arrived:016x}",
            method_index,
            key,
            attempt,
            deadline,
            work,
            work * draw() if calls else -1.0,
        )
        self.requests[request.identifier] = request
        fields = {
            "call": request.identifier,
            "profile": f"class-{method_index}",
            "footprint": round(10 + 60 * draw(), 2),
            "neighbour": self.random.randrange(self.scenario.callers),
            "backlogTime": waited,
        }
        if draw() < 0.7:
            fields["place"] = round(place, 6)
        if self.scenario.sends_estimates and draw() < 0.8:
            fields["estimate"] = int(work * (0.5 + draw()))
        if self.settings["familyInfo.passesDeadline"] == "true":
            fields["expires"] = deadline
        if attempt and self.settings["callers.marksRetry"] == "true":
            fields["againByClient"] = True
        kept, until = self.idempotency_keys.get(key, (copy_of, self.now + 1))
        if kept and until > self.now:
            fields["repeats"] = kept
        elif self.scenario.effects[method_index] == KEYED and draw() < 0.02:
            fields["repeats"] = "f" * 16  # an attempt that is no longer known
        self.schedule_followups(request, fields)
        return [("KNOCK", self.with_direct_fields(fields))]

    def with_direct_fields(self, fields):
        """Add the fields that only a direct call of the decision module accepts."""
        if isinstance(self.link, WireLink):
            return fields
        if "room" in self.scenario.fleet_inputs:
            fields["room"] = self.random.randrange(30), 60, 120 * MS
        return fields | {"number": self.arrived}

    def schedule_followups(self, request, fields):
        """Schedule what may follow an arrival: a caller that gives up, and a duplicate RPC."""
        patience = 0.3 if self.random.random() < 0.1 else 1.0
        gives_up = self.now + (request.deadline - self.now) * patience + 40 * MS
        departure = Request(request.identifier, *(None,) * 6)
        self.schedule(gives_up, lambda _: self.caller_leaves(request), departure)
        if self.scenario.effects[request.method_index] != ONCE and self.random.random() < 0.08:
            copy_of = request.identifier if self.random.random() < 0.7 else None
            copy = lambda: self.arrival(request.method_index, request.key, 1, copy_of)  # noqa: E731
            self.schedule(self.now + self.random.randrange(200 * MS), copy)

    def caller_leaves(self, request):
        if request.answered or self.requests.get(request.identifier) is not request:
            return []
        request.answered = True
        events = [("LEFT", {"call": request.identifier})]
        if request.state in ("waiting", "calling"):
            events += self.end_run(request, 444)
        elif request.state != "running":
            self.finish(request)
        return events

    def end_run(self, request, how):
        spent = self.now - request.started_at
        self.finish(request)
        return [("WOUND_UP", {"call": request.identifier, "how": how, "spent": spent})]

    def finish(self, request):
        request.state, request.answered = "finished", True
        request.schedule_version += 1

    def reach_call(self, request):
        request.state, request.work = "waiting", request.work_at_call
        request.work_at_call = -1.0
        return [("WANTS_CALL", {"call": request.identifier})]

    def call_returns(self, request, how):
        events = [
            ("DOWNSTREAM", {"call": request.identifier, "how": how, "spent": self.now - request.started_at})
        ]
        request.state = "waiting"
        if how == 200:
            self.execute(request)
        return events

    def wake(self, name):
        running = sum(r.state == "running" for r in self.requests.values())
        feedback = {
            "core_use": round(min(1.0, running / self.cores) * (0.9 + 0.1 * self.random.random()), 3),
            "on_cores": running + (self.random.randrange(self.cores + 2) if running else 0),
            "heap_share": 0.4,
        }
        if self.random.random() < 0.05:
            feedback = {}  # the gauges were unavailable
        return [("WAKE", {"name": name, "feedback": feedback | self.fleet_gauges()})]

    def fleet_gauges(self):
        step = (self.now - self.began_at) // (250 * MS)
        readings = {
            "callsRoom": (3, 1, 0, 6, 2)[step % 5],
            "ejected": step % 5 in (1, 2),
            "leastLevel": (0.0, 0.3, 0.6, 0.05)[step % 4],
            "dependencyDown": step % 6 in (2, 3, 4),
            "intakeUse": (0.1, 0.95, 0.99)[step % 3],
            "intakeAge": (0, 30 * MS, 250 * MS)[step % 3],
        }
        return {word: value for word, value in readings.items() if word in self.scenario.fleet_inputs}

    # Actions of the decision module.

    def apply_action(self, action, fields):
        assert action != "BROKEN", fields
        shown = dict(fields)
        if action == "TRACE":
            shown["what"] = " ".join(re.findall(r"\d+(?:\.\d+)?", shown["what"]))
        elif action == "NOTIFY_ME":
            del shown["name"]
        self.transcript.append(" ".join([action, *(f"{name}={shown[name]}" for name in sorted(shown))]))
        handler = getattr(self, "on_" + action.lower(), None)
        if handler and "call" in fields:
            request = self.requests.get(fields["call"])
            if request is not None:
                handler(request, fields)
        elif handler:
            handler(fields)

    def on_notify_me(self, fields):
        late = self.random.randrange(3 * MS)
        if self.scenario.has_late_timers and self.random.random() < 0.05:
            late = self.random.randrange(400 * MS)
        self.schedule(self.now + int(fields["fromNow"]) + late, lambda: self.wake(fields["name"]))

    def on_hint_out(self, fields):
        self.level = float(fields["x"]) if self.settings["familyInfo.say"] == "level" else 0.0

    def on_take(self, request, fields):
        if request.state in ("queued", "paused"):
            request.started_at = self.now
            if self.random.random() < 0.02:
                request.answered = True
                self.schedule(self.now + MS, lambda r: self.end_run(r, 409), request)
            else:
                self.execute(request)

    def execute(self, request):
        """Run a request on a core until its call to the dependency or its end."""
        running = 1 + sum(r.state == "running" for r in self.requests.values())
        request.state, request.started_at = "running", self.now
        request.slowdown = max(1.0, running / self.cores)
        if request.work_at_call >= 0:
            spent = (request.work - request.work_at_call) * request.slowdown
            self.schedule(self.now + spent, self.reach_call, request)
        else:
            how = 200 if self.random.random() < 0.93 else 502
            self.schedule(self.now + request.work * request.slowdown, lambda r: self.end_run(r, how), request)

    def on_stop(self, request, fields):
        if request.state != "running" or self.random.random() < 0.1:
            return  # the action came too late or was lost in a stall, so it has no effect
        if request.answered or self.settings["familyInfo.preemption"] == "drop":
            self.schedule(self.now + MS, lambda r: self.end_run(r, 444), request)
            return
        request.work = max(MS, request.work - (self.now - request.started_at) / request.slowdown)
        request.work_at_call = min(request.work_at_call, request.work)
        self.schedule(self.now + MS, self.pause, request)

    def pause(self, request):
        request.state = "paused"
        return [
            ("WOUND_UP", {"call": request.identifier, "how": 444, "spent": self.now - request.started_at})
        ]

    def on_busy(self, request, fields):
        self.finish(request)
        self.retry(request, int(fields.get("wait", 0)))

    def on_end_failed(self, request, fields):
        request.answered = True
        if request.state in ("waiting", "calling"):
            self.schedule(self.now, lambda r: self.end_run(r, 444), request)
        elif request.state != "running":
            self.finish(request)
        if self.scenario.effects[request.method_index] != ONCE:
            self.retry(request, 0)

    def retry(self, request, wait):
        if request.attempt < 3 and self.random.random() < 0.5:
            again = lambda: self.arrival(request.method_index, request.key, request.attempt + 1)  # noqa: E731
            self.schedule(self.now + wait + self.random.randrange(5 * MS, 150 * MS), again)

    def on_call_dep(self, request, fields):
        if request.state != "waiting":
            return
        request.state, request.started_at = "calling", self.now
        # The dependency works, then is slow and fails often, then fails almost always, then works again.
        step = (self.now - self.began_at) // (700 * MS)
        failing = (0.05, 0.4, 0.9, 0.1)[step % 4]
        how = 200
        if self.random.random() < failing:
            how = self.random.choice((521, 521, 502, 429, 520, 444, 409, 408))
        took = self.random.randrange(5 * MS, (40 if failing < 0.2 else 400) * MS)
        limit = int(fields["limit"])
        if took > limit or how == 408:
            how, took = 408, limit
        self.schedule(self.now + took, lambda r: self.call_returns(r, how), request)

    def on_skip(self, request, fields):
        if request.state == "waiting":
            self.execute(request)

    def on_share(self, request, fields):
        request.state, request.started_at = "sharing", self.now
        how = 200 if self.random.random() < 0.8 else 502
        self.schedule(self.now + self.random.randrange(100 * MS), lambda r: self.end_run(r, how), request)

    def on_pin(self, request, fields):
        self.idempotency_keys[request.key] = request.identifier, self.now + int(fields["keepFor"])

    def on_drop_key(self, request, fields):
        self.idempotency_keys.pop(request.key, None)
