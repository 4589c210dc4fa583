"""Tests of the example deployments."""

from __future__ import annotations

import pathlib

import pytest
import yaml

from yuccarouter_common import apply, model, records
from yuccarouter_testkit import mixes
from yuccarouter_testkit.demo import deployments

_EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'


def _configuration(name: str) -> model.Configuration:
    text = (_EXAMPLES / name / 'configuration.yaml').read_text()
    configuration = model.Configuration()
    for offset, change in enumerate(yaml.safe_load(text)):
        record = records.Record(
            'c', 'a', 0, records.Kind(change['kind']), change['body']
        )
        configuration, void = apply.apply_record(configuration, offset, record)
        assert void is None, (change, void)
    return configuration


@pytest.mark.parametrize('deployment', deployments.ALL, ids=lambda d: d.name)
def test_configuration(deployment: deployments.Deployment) -> None:
    """Guards against examples that name what they do not configure."""
    configuration = _configuration(deployment.name)
    pools = {group.pool for group in deployment.groups}
    assert pools == set(configuration.pools)
    assert set(deployment.data_centres) == set(configuration.data_centres)
    for version in configuration.versions.values():
        assert version.pool in pools
    for service in configuration.services.values():
        kinds = {call.kind for call in service.calls}
        assert kinds <= set(configuration.kinds)
    for organisation in configuration.organisations.values():
        assert set(organisation.allowed) <= set(configuration.versions)
        assert set(organisation.services) <= set(configuration.services)


@pytest.mark.parametrize('name', sorted(mixes.MIXES))
def test_load_mix(name: str) -> None:
    """Guards against load of kinds that the examples do not have."""
    configuration = _configuration(name)
    mix = mixes.MIXES[name]
    assert {kind.name for kind in mix.kinds} <= set(configuration.kinds)
    models = {version.model for version in configuration.versions.values()}
    assert mix.model in models
