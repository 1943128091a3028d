"""Measurements: one command each, a rival or a floor beside ours in the same run."""
