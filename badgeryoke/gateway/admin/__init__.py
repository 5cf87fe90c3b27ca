"""The operators' address: one line in, one answer out."""
