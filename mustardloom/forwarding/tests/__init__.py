"""Tests of the transport of requests: ingress, forwarder, target client."""
