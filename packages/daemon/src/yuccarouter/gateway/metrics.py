"""Counters and histograms of the gateway."""

from __future__ import annotations

from typing import Final

import prometheus_client

_LATENCY_BUCKETS_S: Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
)

BUILD: Final = prometheus_client.Info(
    'yuccarouter_gateway_build', 'The release that runs'
)
CONFIRMATIONS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_confirmations',
    'Answers of the store that confirmed a replica, by kind of call',
    ('topic', 'source'),
)
ANSWERS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_answers',
    'Final answers to callers',
    ('route_kind', 'status', 'code'),
)
ATTEMPTS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_attempts',
    'Attempts at endpoints, by how they ended',
    ('service', 'outcome'),
)
ESCALATIONS_WITHOUT_BUDGET: Final = prometheus_client.Counter(
    'yuccarouter_gateway_unpaid_escalations',
    'Doubtful answers passed on as the budget for repeats was spent',
    ('service',),
)
LARGER_MODELS_ASKED: Final = prometheus_client.Counter(
    'yuccarouter_gateway_larger_models_asked',
    'Uncertain answers dropped under load control, by the larger model asked',
    ('service', 'model'),
)
UNCERTAIN_ANSWERS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_uncertain_answers',
    'Uncertain answers passed on under load control, by reason',
    ('service', 'reason'),
)
SURPLUS_ANSWERS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_surplus_answers',
    'Connections on which other bytes came after an answer',
)
MEMORY_EXCEEDED: Final = prometheus_client.Counter(
    'yuccarouter_gateway_memory_exceeded',
    'Times at which requests were ended as all held too much, by for whom',
    ('owner',),
)
HELD_PROMPT_PARTS: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_held_prompt_parts',
    'Sets of prompt parts that are held back as engines crash on them',
)
HELD_REQUESTS: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_held_requests',
    'Requests that are held back as endpoints crash on them',
)
RATE_LIMITED_ENDPOINTS: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_rate_limited_endpoints',
    'Endpoints that state a rate limit',
)
SESSION_QUESTIONS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_session_questions',
    'Sessions whose version this daemon asked their owners for, by outcome',
    ('outcome',),
)
SESSION_CORRECTIONS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_session_corrections',
    'Daemons that this one, as an owner, has corrected on a session',
)
FIRST_BYTE_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_first_byte_seconds',
    'Time from the arrival of a request to the first byte of its answer',
    ('route_kind',),
    buckets=_LATENCY_BUCKETS_S,
)
RECORD_AGE_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_record_age_seconds',
    'Time from the last answer of the store to the use of a newer record',
    ('topic', 'source'),
    buckets=_LATENCY_BUCKETS_S,
)
RECORD_LAG_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_record_lag_seconds',
    'Time from the first digest that told of a newer record to its use',
    ('topic', 'source'),
    buckets=_LATENCY_BUCKETS_S,
)
PEER_FETCHES: Final = prometheus_client.Counter(
    'yuccarouter_gateway_peer_fetches',
    'Calls to peers for records that are missing here, by outcome',
    ('topic', 'outcome'),
)
DIGEST_BYTES: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_digest_bytes', 'Length of the last digest for peers'
)
CONFIGURATION_AGE_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_configuration_age_seconds',
    'Time since the configuration that decided a request was last confirmed',
    buckets=_LATENCY_BUCKETS_S,
)
MEAN_TIME_FACTOR: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_mean_time_factor',
    'Mean time of work at endpoints as a multiple of the usual one',
    ('service',),
)
SLOW_ENDPOINTS: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_slow_endpoints',
    'Endpoints that reported a time far above the mean of their service',
    ('service',),
)
ANNOUNCED_READS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_announced_reads',
    'Long reads of prompts that peers were told of at once',
)
ORGANISATIONS_ABOVE_SHARE: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_organisations_above_share',
    'Organisations that ask for more than their fair share',
    ('service',),
)
DEMAND_PER_CAPACITY: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_demand_per_capacity',
    'Demand of the whole fleet in relation to the capacity of a service',
    ('service',),
)
SHED_REQUESTS: Final = prometheus_client.Counter(
    'yuccarouter_gateway_shed_requests',
    'Requests that were refused before they were sent, by reason',
    ('service', 'reason'),
)
WAIT_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_admission_wait_seconds',
    'Time from the arrival of a request that waited here until it was sent',
    ('service',),
    buckets=_LATENCY_BUCKETS_S,
)
HELD_AT_START: Final = prometheus_client.Counter(
    'yuccarouter_gateway_held_at_start',
    'Requests that came before the configuration, by how they went on',
    ('outcome',),
)
LOOP_DELAY_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_loop_delay_seconds',
    'How late an event loop has run what was due',
    ('loop',),
    buckets=_LATENCY_BUCKETS_S,
)
DIGEST_DELAY_S: Final = prometheus_client.Histogram(
    'yuccarouter_gateway_digest_delay_seconds',
    'How much longer digests waited than the fastest ones of their sender',
    buckets=_LATENCY_BUCKETS_S,
)
_MS_PER_S: Final = 1000

IN_PROGRESS: Final = prometheus_client.Gauge(
    'yuccarouter_gateway_requests_in_progress', 'Requests without final answer'
)


def observe_first_byte(route_kind: str, elapsed_ms: float) -> None:
    """Record the time to the first byte of an answer."""
    FIRST_BYTE_S.labels(route_kind).observe(elapsed_ms / _MS_PER_S)


def observe_wait(service: str, waited_ms: float) -> None:
    """Record how long an admitted request has waited here."""
    WAIT_S.labels(service).observe(waited_ms / _MS_PER_S)


def observe_record_age(topic: str, source: str, age_ms: float) -> None:
    """Record how old a new record of a topic may be."""
    RECORD_AGE_S.labels(topic, source).observe(age_ms / _MS_PER_S)


def observe_record_lag(topic: str, source: str, behind_ms: float) -> None:
    """Record for how long peers have had a new record of a topic."""
    RECORD_LAG_S.labels(topic, source).observe(behind_ms / _MS_PER_S)


def observe_configuration_age(age_ms: float) -> None:
    """Record when the configuration that decided a request was confirmed."""
    CONFIGURATION_AGE_S.observe(age_ms / _MS_PER_S)


def observe_digest_delay(delay_ms: float) -> None:
    """Record how long a digest of a peer was on its way."""
    DIGEST_DELAY_S.observe(delay_ms / _MS_PER_S)


def observe_loop_delay(loop: str, delay_ms: float) -> None:
    """Record how late an event loop was."""
    LOOP_DELAY_S.labels(loop).observe(delay_ms / _MS_PER_S)
