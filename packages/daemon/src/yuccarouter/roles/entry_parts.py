"""Construction of an entry's services."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from yuccarouter.billing import ledger
from yuccarouter.configuration import follower, store
from yuccarouter.membership import (
    cancellation,
    channels,
    digests,
    directory,
    pause,
    peer_service,
    relay,
    remote,
    reports,
)
from yuccarouter.request_path import (
    answer_cache,
    entry_state,
    explanations,
    session_versions,
    settlements,
)
from yuccarouter.roles import peering
from yuccarouter.rollout import control, observations
from yuccarouter.routing import cascade, latency, quality, retry_budget, views
from yuccarouter_common import clocks
from yuccarouter_common.platform import log, ratings, vms, weights

if TYPE_CHECKING:
    import aiohttp
    import mode

    from yuccarouter_common import settings


@attrs.frozen
class EntryParts:
    """The services of an entry, except its servers.

    ``shared`` is the state that all requests use. ``services`` are in the
    order in which they start.
    """

    shared: entry_state.EntryState
    membership: peer_service.MembershipServicer
    services: list[mode.ServiceT]


def build(
    conf: settings.Settings, session: aiohttp.ClientSession
) -> EntryParts:
    """Build the services of an entry, which share one HTTP session."""
    client = log.Client(session, conf.platform.log_url)
    daemons = channels.Channels(conf.secrets.peer_key)
    vm_directory = directory.Directory(
        vms.Client(session, conf.platform.vms_url).fetch,
        conf.timing.vm_list_interval_ms,
    )
    batcher = relay.AppendBatcher(client)
    billing_log = relay.RelayedLog(conf, client, batcher, vm_directory, daemons)
    shared = _entry_state(
        conf, session, client, vm_directory, daemons, billing_log
    )
    pauses = pause.PauseDetector()
    source = digests.Source(
        conf.data_centre, shared.fleet, vm_directory, clocks.monotonic_ms
    )
    return EntryParts(
        shared,
        peer_service.MembershipServicer(source, batcher),
        [
            pauses,
            *_membership(conf, shared, pauses),
            batcher,
            *_configuration(conf, shared, client),
            shared.ledger,
            shared.observations,
            _rollout_control(conf, shared, session, client),
        ],
    )


def _membership(
    conf: settings.Settings,
    shared: entry_state.EntryState,
    pauses: pause.PauseDetector,
) -> list[mode.ServiceT]:
    fleet = shared.fleet
    vm_directory = shared.directory
    daemons = shared.daemons
    # The directory starts last, so that the others receive its first list.
    return [
        reports.ReportReader(
            conf, fleet, vm_directory, daemons, shared.canceller, pauses
        ),
        remote.RemoteEndpoints(conf, fleet, vm_directory, daemons, pauses),
        vm_directory,
    ]


def _configuration(
    conf: settings.Settings, shared: entry_state.EntryState, client: log.Client
) -> list[mode.ServiceT]:
    exchange = peering.Peering(
        conf, shared.store, shared.directory, shared.daemons
    )
    return [
        follower.Follower(client, shared.store),
        exchange.client(),
        exchange.snapshot_writer(client),
    ]


def _rollout_control(
    conf: settings.Settings,
    shared: entry_state.EntryState,
    session: aiohttp.ClientSession,
    client: log.Client,
) -> control.RolloutControl:
    return control.RolloutControl(
        control.Dependencies(
            log_client=client,
            rating_client=shared.ratings,
            weight_client=weights.Client(session, conf.platform.weights_url),
            configuration_store=shared.store,
            fleet=shared.fleet,
            daemons=shared.daemons,
        )
    )


def _entry_state(
    conf: settings.Settings,
    session: aiohttp.ClientSession,
    client: log.Client,
    vm_directory: directory.Directory,
    daemons: channels.Channels,
    billing_log: relay.RelayedLog,
) -> entry_state.EntryState:
    rng = random.Random()
    pending_settlements = settlements.Settlements(daemons)
    latencies = latency.Latencies(clocks.monotonic_ms)
    rating_client = ratings.Client(session, conf.platform.ratings_url)
    configuration_store = store.Store()
    return entry_state.EntryState(
        conf=conf,
        store=configuration_store,
        fleet=views.Fleet(clocks.monotonic_ms, rng.random),
        daemons=daemons,
        directory=vm_directory,
        canceller=cancellation.CallCanceller(),
        ledger=ledger.Ledger(
            billing_log,
            conf.timing.bill_interval_ms,
            pending_settlements.settle_billed,
        ),
        settlements=pending_settlements,
        retry_budget=retry_budget.RetryBudget(),
        latencies=latencies,
        cascades=cascade.Cascades(
            quality.Estimates(clocks.monotonic_ms), latencies, rng.random
        ),
        ratings=rating_client,
        observations=observations.Observations(
            client,
            rating_client,
            configuration_store.current,
            rng,
            lambda: len(vm_directory.live('entry')),
        ),
        answer_cache=answer_cache.AnswerCache(conf.limits.held_answers_bytes),
        explanations=explanations.Explanations(),
        limiter=entry_state.ConcurrencyLimiter(conf.limits.requests),
        pin_cache=session_versions.PinCache(),
        rng=rng,
    )
