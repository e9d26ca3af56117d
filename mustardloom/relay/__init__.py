"""Streams between daemons, and the replicas of the store in each of them."""
