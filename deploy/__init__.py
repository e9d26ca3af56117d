"""What the deploy file runs: the build, and tests of real daemons."""
