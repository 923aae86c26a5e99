"""Place work on nodes and targets: decisions without I/O."""
