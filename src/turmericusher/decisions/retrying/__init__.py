"""Retrying: how many repeated attempts all instances together may add.

`retries` has the budget of one instance, and `retry_loans` how instances share what
they have left. In a large fleet `retry_pool` says who holds the slack of the limit, and
`pooled_retries` what one instance may spend.
"""
