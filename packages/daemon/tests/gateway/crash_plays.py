"""Plays of crashing engines in virtual time, judged by the product's code.

Daemons send streams to engines. A bad request, or requests with a bad part,
crash each engine some time after the first event; engines may also lose power
or restart. Each daemon judges with a ``CrashEvidence`` of its own, and hears of
the others' crashes a little later.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Final

import attrs

from yuccarouter.gateway import answer_times, crash_evidence, crash_suspicions

SERVICE: Final = 'engine'
DAEMONS: Final = ('d1', 'd2', 'd3')
# Time until the first event, and from it to the last one.
START_MS: Final = 100.0
STREAM_MS: Final = 4000.0
RESTART_MS: Final = 2500.0
NEWS_MS: Final = 20.0
BAD_INTERVAL_MS: Final = 3000.0
BAD_FROM_MS: Final = 6000.0
CONTACT_MS: Final = 3000.0
MAX_ATTEMPTS: Final = 3
MAX_CRASHES: Final = 2
CONVERSATIONS: Final = 3
BAD_PART: Final = 'bad'


@attrs.frozen
class Scene:
    """What is played.

    ``streams`` run at an engine at once. ``bad`` is ``request``, ``part`` or
    empty, and ``crash_ms`` the time from the first event to the crash.
    ``outages`` has the times and shares of engines that fail together.
    """

    engines: int = 5
    streams: int = 2
    parts: int = 1
    bad: str = ''
    bad_place: float = 0
    crash_ms: float = 0
    length_ms: float = 42_000
    outages: tuple[tuple[float, float], ...] = ()


@attrs.define(eq=False)
class Request:
    """A request of a caller, with its attempts."""

    number: int
    digest: str
    parts: tuple[str, ...]
    is_bad: bool
    daemon: crash_evidence.CrashEvidence
    attempts: int = 0
    crashes: int = 0
    engine: Engine | None = None
    sent_ms: float = 0
    proceeded_ms: float = 0

    @property
    def suspects(self) -> tuple[str, ...]:
        """What of it may crash engines."""
        return (self.digest, *self.parts)


@attrs.define(eq=False)
class Engine:
    """An engine, with the streams that it runs and the number of its start."""

    name: str
    start: int = 0
    is_up: bool = True
    streams: set[Request] = attrs.field(factory=set)


@attrs.define
class Play:
    """One play of a scene; the counts are its result.

    ``crash_times_ms`` are the crashes of the bad request or part, ``bad_sends``
    the times and numbers of the bad requests that reached engines, and ``held``
    the sound requests that were held at least once.
    """

    scene: Scene
    rng: random.Random
    crash_times_ms: list[float] = attrs.field(factory=list)
    bad_sends: list[tuple[float, int]] = attrs.field(factory=list)
    held: set[int] = attrs.field(factory=set)
    sound: int = 0
    _now_ms: float = 0
    _order: itertools.count[int] = attrs.field(factory=itertools.count)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _engines: list[Engine] = attrs.field(init=False)
    _daemons: list[crash_evidence.CrashEvidence] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start engines and daemons."""
        self._engines = [
            Engine(f'e{number}') for number in range(self.scene.engines)
        ]
        self._daemons = [
            crash_evidence.CrashEvidence(
                name,
                lambda name=name: tuple(x for x in DAEMONS if x != name),
                lambda service: self.scene.engines,
            )
            for name in DAEMONS
        ]

    def run(self) -> Play:
        """Play the scene and return it with its counts."""
        scene = self.scene
        per_ms = scene.streams * scene.engines / (START_MS + STREAM_MS)
        at_ms = 0.0
        while at_ms < scene.length_ms:
            at_ms += self.rng.expovariate(per_ms)
            self._at(at_ms, self._send_sound)
        if scene.bad:
            times = int((scene.length_ms - BAD_FROM_MS) / BAD_INTERVAL_MS)
            for number in range(times):
                self._at(BAD_FROM_MS + number * BAD_INTERVAL_MS, self._send_bad)
        for at_ms, share in scene.outages:
            self._at(at_ms, lambda share=share: self._fail_together(share))
        while self._events:
            self._now_ms, _, event = heapq.heappop(self._events)
            event()
        return self

    def late_bad_sends(self, crashes: int) -> int:
        """Return the bad requests sent too late after that many crashes."""
        if len(self.crash_times_ms) < crashes:
            return 0
        from_ms = self.crash_times_ms[crashes - 1] + CONTACT_MS
        return len({each for at_ms, each in self.bad_sends if at_ms > from_ms})

    def _at(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), event))

    def _prompt(self) -> list[str]:
        """Return a prompt's shared parts: of all, and of a conversation."""
        name = self.rng.randrange(CONVERSATIONS)
        more = range(self.scene.parts - 1)
        return ['sys', *(f'c{name}-{each}' for each in more)]

    def _send_sound(self) -> None:
        self.sound += 1
        number = next(self._order)
        self._send(
            Request(
                number,
                f'/{number:08x}',
                tuple(self._prompt()),
                is_bad=False,
                daemon=self.rng.choice(self._daemons),
            )
        )

    def _send_bad(self) -> None:
        number = next(self._order)
        parts = self._prompt()
        digest = '/repeated'
        if self.scene.bad == 'part':
            parts.insert(round(self.scene.bad_place * len(parts)), BAD_PART)
            digest = f'/{number:08x}'
        daemon = self.rng.choice(self._daemons)
        self._send(Request(number, digest, tuple(parts), True, daemon))

    def _send(self, request: Request) -> None:
        up = [each for each in self._engines if each.is_up]
        if not up or request.attempts >= MAX_ATTEMPTS:
            return
        if request.crashes >= MAX_CRASHES:
            return
        if not request.daemon.may_send(SERVICE, request.suspects, self._now_ms):
            if not request.is_bad:
                self.held.add(request.number)
            return
        engine = min(
            up, key=lambda each: (len(each.streams), self.rng.random())
        )
        request.attempts += 1
        request.engine = engine
        request.sent_ms = self._now_ms
        request.proceeded_ms = 0
        engine.streams.add(request)
        if request.is_bad:
            self.bad_sends.append((self._now_ms, request.number))
            crash_ms = START_MS + self.scene.crash_ms
            self._follow(request, crash_ms, lambda: self._crash_by(engine))
        for proceeded_ms in answer_times.PROCEEDED_MS:
            if proceeded_ms < STREAM_MS:
                self._follow(
                    request,
                    START_MS + proceeded_ms,
                    lambda reached=proceeded_ms: self._answer(request, reached),
                )
        length_ms = STREAM_MS + (self.scene.crash_ms if request.is_bad else 0)
        self._follow(
            request, START_MS + length_ms, lambda: self._end(request, engine)
        )

    def _follow(
        self, request: Request, after_ms: float, event: Callable[[], None]
    ) -> None:
        """Let an event of a request happen unless its attempt is lost."""
        attempt = request.attempts
        engine = request.engine

        def happen() -> None:
            if request.attempts == attempt and request in engine.streams:
                event()

        self._at(self._now_ms + after_ms, happen)

    def _answer(self, request: Request, proceeded_ms: float) -> None:
        request.daemon.record_answer(
            SERVICE, request.suspects, self._now_ms, proceeded_ms
        )

    def _end(self, request: Request, engine: Engine) -> None:
        engine.streams.discard(request)
        self._answer(request, math.inf)

    def _crash_by(self, engine: Engine) -> None:
        self.crash_times_ms.append(self._now_ms)
        self._crash(engine)

    def _fail_together(self, share: float) -> None:
        count = max(1, round(share * len(self._engines)))
        for engine in self.rng.sample(self._engines, count):
            if engine.is_up:
                self._crash(engine)

    def _crash(self, engine: Engine) -> None:
        engine.is_up = False
        lost = sorted(engine.streams, key=lambda each: each.number)
        name = f'{engine.name}/{engine.start}'
        engine.streams.clear()
        engine.start += 1
        self._at(
            self._now_ms + RESTART_MS, lambda: setattr(engine, 'is_up', True)
        )
        for request in lost:
            self._at(
                self._now_ms + self.rng.uniform(1, 5),
                lambda request=request: self._record_lost(request, name),
            )
        self._at(self._now_ms + NEWS_MS, self._tell)

    def _record_lost(self, request: Request, engine: str) -> None:
        ran_ms = max(0, self._now_ms - request.sent_ms - START_MS)
        recorded = request.daemon.record_crash(
            crash_suspicions.CrashedAttempt(
                request=request.number,
                number=request.attempts,
                engine=engine,
                service=SERVICE,
                sent_ms=request.sent_ms,
                crashed_ms=self._now_ms,
                suspects=request.daemon.suspects_of_crash(
                    SERVICE, request.digest, request.parts, ran_ms
                ),
                answered=frozenset(),
                changed_ms=self._now_ms,
                ran_ms=ran_ms,
            ),
            self._now_ms,
        )
        request.crashes += bool(recorded.new_suspects)
        self._send(request)

    def _tell(self) -> None:
        """Let each daemon hear the others' evidence."""
        messages = [each.message(self._now_ms) for each in self._daemons]
        for receiver in self._daemons:
            for message in messages:
                receiver.merge(message, self._now_ms)


def play(scene: Scene, seed: int) -> Play:
    """Play a scene and return the play."""
    return Play(scene, random.Random(seed)).run()
