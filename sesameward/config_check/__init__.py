"""Check a configuration before it is in force.

contradictions finds limits that contradict each other, unused finds entries
that never take effect, and differences compares two configurations. They know
the plain types of serving/routes.py, and neither file formats nor field names.
"""
