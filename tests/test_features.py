"""Selection of optional features by a deployment's contracts and environment."""

import testtools
import yaml

from lynxchute.edge.settings import Features
from lynxchute.platform.settings import FEATURES_VARIABLE, decode_settings

SETTINGS = {
    "node_name": "front-a-1",
    "zone": "a",
    "zones": {"a": "r"},
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internal_ports": [3, 9],
    "platform": {"address": "127.0.0.1:4"},
    "limits": {"memory_mb": 150},
}


def features(contracts, **environment):
    text = yaml.safe_dump({**SETTINGS, "contracts": contracts})
    return decode_settings(text, environment)


class FeaturesTest(testtools.TestCase):
    def test_features_are_off_by_default(self):
        for contracts in (["base", "engine", "platform"], None, 7, [None, {}]):
            self.assertEqual(Features(), features(contracts).ok.features)

    def test_pool_and_pressure_contracts_enable_their_features(self):
        pool_features = features(["base", "pool"]).ok.features
        self.assertTrue(pool_features.processor_guard and pool_features.fair_shares)
        self.assertFalse(pool_features.memory_guard)
        # Loses tokens if all routers crash, so it must be enabled explicitly.
        self.assertFalse(pool_features.demand_lines)
        pressure_features = features(["pressure"]).ok.features
        self.assertEqual(Features(memory_guard=True), pressure_features)

    def test_environment_overrides_contracts(self):
        named = features(["pool"], **{FEATURES_VARIABLE: "hedging,fair_shares"})
        self.assertEqual(Features(hedging=True, fair_shares=True), named.ok.features)
        none = features(["pool"], **{FEATURES_VARIABLE: "none"})
        self.assertEqual(Features(), none.ok.features)

    def test_an_unknown_feature_is_a_finding(self):
        (finding,) = features([], **{FEATURES_VARIABLE: "speed"}).error
        self.assertIn("speed", finding)
        self.assertIn("processor_guard", finding)
