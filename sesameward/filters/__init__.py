"""Hold the steps of a request, one module each; read chain.py first."""
