"""Types of a deployment: settings, configuration, targets, key ranges."""
