"""Call targets and agents over HTTP: transfers, target_client, fleet."""
