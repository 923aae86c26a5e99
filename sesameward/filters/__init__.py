"""Process callers' requests in a chain of filters, one module for each.

chain.py describes the chain, exchange.py the state that its filters share.
"""
