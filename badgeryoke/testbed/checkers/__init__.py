"""Checkers that judge a run by what they saw themselves."""
