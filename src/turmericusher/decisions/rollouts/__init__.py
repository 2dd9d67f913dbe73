"""Roll-outs of upstream versions: orders, evidence, verdicts, shares and the gate.

An operator orders a service's traffic to a target version. `orders` has the records,
`evidence` the counts of answers, `verdict` the sequential tests of them, `steps` the
steps of the deciding instance, `gate` the share that each instance keeps at each send,
and `deciding` the state machine of an instance that may decide.
"""
