"""Metrics of admission."""

from __future__ import annotations

from typing import Final

import prometheus_client

ATTEMPTS: Final = prometheus_client.Counter(
    'yuccarouter_admission_attempts',
    'Attempts by how they ended.',
    ('ending',),
)
LIMIT_RESETS: Final = prometheus_client.Counter(
    'yuccarouter_admission_gate_drops',
    'Falls of the limit to the cold limit, by reason.',
    ('reason',),
)
LIMIT: Final = prometheus_client.Gauge(
    'yuccarouter_admission_limit',
    'Requests that may be in flight at the endpoint.',
)
IN_FLIGHT: Final = prometheus_client.Gauge(
    'yuccarouter_admission_in_flight',
    'Requests in flight at the endpoint, with foreign work.',
)
QUEUED: Final = prometheus_client.Gauge(
    'yuccarouter_admission_queued',
    'Requests that wait for a slot.',
)
QUEUE_SECONDS: Final = prometheus_client.Histogram(
    'yuccarouter_admission_queue_seconds',
    'Time that admitted requests have waited for a slot.',
)
ORDERS: Final = prometheus_client.Counter(
    'yuccarouter_admission_orders',
    'Orders by result code.',
    ('code',),
)
LOAD_POLLS: Final = prometheus_client.Counter(
    'yuccarouter_admission_load_polls',
    'Polls of the endpoint by result.',
    ('result',),
)
CACHE_GAPS: Final = prometheus_client.Counter(
    'yuccarouter_admission_cache_gaps',
    'Gaps found in the cache events of the endpoint.',
)
UNRECORDED: Final = prometheus_client.Counter(
    'yuccarouter_admission_unrecorded',
    'Registry records that could not be written, by item.',
    ('item',),
)
SURPLUS_ANSWERS: Final = prometheus_client.Counter(
    'yuccarouter_admission_surplus_answers',
    'Connections to the endpoint on which other bytes followed an answer.',
)
