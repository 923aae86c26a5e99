"""Cross faults with steps: read faults, steps, matrix, then __main__."""
