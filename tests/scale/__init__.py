"""Tests of the scale benchmark and of the page that is made from it."""
