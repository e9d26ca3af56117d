"""Types that describe a deployment: settings, configuration, targets."""
