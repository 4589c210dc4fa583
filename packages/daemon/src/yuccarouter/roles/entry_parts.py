"""The parts of an entry, wired together."""

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
    answers,
    explanations,
    router,
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
    """What an entry consists of besides its servers.

    ``services`` are in the order in which they start.
    """

    shared: router.Router
    members: peer_service.MembershipServicer
    services: list[mode.ServiceT]


def wire(conf: settings.Settings, session: aiohttp.ClientSession) -> EntryParts:
    """Build the parts of an entry over one HTTP session."""
    client = log.Client(session, conf.platform.log_url)
    daemons = channels.Channels(conf.secrets.peer_key)
    known = directory.Directory(
        vms.Client(session, conf.platform.vms_url).fetch,
        conf.timing.vm_list_interval_ms,
    )
    gatherer = relay.AppendBatcher(client)
    bills = relay.RelayedLog(conf, client, gatherer, known, daemons)
    shared = _router(conf, session, client, known, daemons, bills)
    pauses = pause.PauseDetector()
    source = digests.Source(
        conf.data_centre, shared.fleet, known, clocks.monotonic_ms
    )
    return EntryParts(
        shared,
        peer_service.MembershipServicer(source, gatherer),
        [
            pauses,
            *_membership(conf, shared, pauses),
            gatherer,
            *_configuration(conf, shared, client),
            shared.ledger,
            shared.observations,
            _rollout_control(conf, shared, session, client),
        ],
    )


def _membership(
    conf: settings.Settings, shared: router.Router, pauses: pause.PauseDetector
) -> list[mode.ServiceT]:
    fleet = shared.fleet
    known = shared.known
    daemons = shared.daemons
    # The directory starts last: the others subscribe to its first list.
    return [
        reports.ReportReader(
            conf, fleet, known, daemons, shared.canceller, pauses
        ),
        remote.RemoteEndpoints(conf, fleet, known, daemons, pauses),
        known,
    ]


def _configuration(
    conf: settings.Settings, shared: router.Router, client: log.Client
) -> list[mode.ServiceT]:
    exchange = peering.Peering(conf, shared.store, shared.known, shared.daemons)
    return [
        follower.Follower(client, shared.store),
        exchange.client(),
        exchange.snapshot_writer(client),
    ]


def _rollout_control(
    conf: settings.Settings,
    shared: router.Router,
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


def _router(
    conf: settings.Settings,
    session: aiohttp.ClientSession,
    client: log.Client,
    known: directory.Directory,
    daemons: channels.Channels,
    bills: relay.RelayedLog,
) -> router.Router:
    rng = random.Random()
    settled = settlements.Settlements(daemons)
    latencies = latency.Latencies(clocks.monotonic_ms)
    rater = ratings.Client(session, conf.platform.ratings_url)
    held = store.Store()
    return router.Router(
        conf=conf,
        store=held,
        fleet=views.Fleet(clocks.monotonic_ms, rng.random),
        daemons=daemons,
        known=known,
        canceller=cancellation.CallCanceller(),
        ledger=ledger.Ledger(
            bills, conf.timing.bill_interval_ms, settled.written
        ),
        settlements=settled,
        budget=retry_budget.RetryBudget(),
        latencies=latencies,
        cascades=cascade.Cascades(
            quality.Estimates(clocks.monotonic_ms), latencies, rng.random
        ),
        ratings=rater,
        observations=observations.Observations(
            client,
            rater,
            held.current,
            rng,
            lambda: len(known.live('entry')),
        ),
        answers=answers.HeldAnswers(conf.limits.held_answers_bytes),
        explanations=explanations.Explanations(),
        load=router.Load(conf.limits.requests),
        pins=session_versions.KnownPins(),
        rng=rng,
    )
