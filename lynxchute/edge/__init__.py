"""Router application: settings, wiring, configuration feed and state dump."""
