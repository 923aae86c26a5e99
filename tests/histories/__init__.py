"""Check the promises on records: read records, checks, then shrink."""
