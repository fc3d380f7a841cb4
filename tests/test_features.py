"""The parts that a deployment's settings switch on."""

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
    def test_a_deployment_that_asks_for_nothing_is_served_as_before(self):
        for contracts in (["base", "engine", "platform"], None, 7, [None, {}]):
            self.assertEqual(Features(), features(contracts).ok.features)

    def test_a_shared_pool_and_pressure_switch_on_what_they_need(self):
        pooled = features(["base", "pool"]).ok.features
        self.assertTrue(pooled.processor_guard and pooled.fair_shares)
        self.assertFalse(pooled.memory_guard)
        # It costs tokens where all routers die, and is named by hand only.
        self.assertFalse(pooled.demand_lines)
        pressed = features(["pressure"]).ok.features
        self.assertEqual(Features(memory_guard=True), pressed)

    def test_the_environment_goes_before_the_contracts(self):
        named = features(["pool"], **{FEATURES_VARIABLE: "hedging,fair_shares"})
        self.assertEqual(Features(hedging=True, fair_shares=True), named.ok.features)
        none = features(["pool"], **{FEATURES_VARIABLE: "none"})
        self.assertEqual(Features(), none.ok.features)

    def test_an_unknown_feature_is_a_finding(self):
        (finding,) = features([], **{FEATURES_VARIABLE: "speed"}).error
        self.assertIn("speed", finding)
        self.assertIn("processor_guard", finding)
