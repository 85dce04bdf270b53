"""The decision module of a node: it decides which RPCs the node admits, runs, rejects and fails.

The package consists of state and decisions only. It does no I/O, takes no lock, reads no clock and runs in
one thread. It must not depend on a protocol, a socket or a host. A host implements `Port` (port.py), creates
one `NodeController(port, settings, seed)` for each node, and calls the methods of the controller and of the
handles that `admit` returns. The module responds by calls of the port before these methods return. Times are
whole microseconds on the host's clock, and memory is in units of 1024 bytes. An RPC is identified by a small
index that the host assigns. The reasons behind the decisions are given in docs/design.md.

Import from the single modules: this package re-exports nothing, as hosts and codecs need few of its types.

An RPC is QUEUED, then RUNNING, then COMPLETED. A run that needs the dependency is AWAITING_CALL, then
CALLING, and RUNNING again. A run that yields its core is PAUSED and returns to the queue. A duplicate never
runs; it is SHARING until the result of the first RPC with its key is known.

Reading order:

1. Types between module and host: outcome.py, gauges.py, arrival.py, port.py, node_settings.py.
2. controller.py: what a host calls. rpc.py: an RPC, its states and its handle. node_state.py: all state.
3. State, each component with its invariant: rpc_table.py, run_queue.py, runs.py, memory.py,
   idempotency_keys.py, method.py, service_time.py (histogram.py), slowdown.py, warm_up.py, concurrency.py,
   caller_reuse.py, arrival_statistics.py, graceful_shutdown.py, deadlines.py, dependency_calls.py
   (token_bucket.py).
4. From admission to completion: admission.py, admission_checks.py (rejection_reason.py), duplicates.py,
   expected_wait.py, run_starter.py, pausing.py, rpc_events.py, completion.py (rejection.py).
5. The timer: expiry.py, control_loop.py, admission_control.py, feedback.py, health.py, idle_timeout.py
   (hysteresis.py).

What an input leads to. The modules are called in this order. `start_queued` is run_starter.py, which may
pause runs (pausing.py) or drop RPCs (completion.py), and `complete` is completion.py:

====================== ============================================== ======================================
input                  modules called, in order                       effects (port calls)
====================== ============================================== ======================================
start                  warm_up, dependency_calls, idle_timeout        set_health, set_idle_timeout,
                                                                      set_timer
admit: a duplicate     caller_reuse, admission, arrival_statistics,   answer_duplicate; or fail, release
                       rpc_table, memory, duplicates
admit: any other       as above except duplicates; expected_wait,     store_key, run, stop; or reject,
                       admission_checks; then idempotency_keys,       release
                       run_queue, start_queued; or rejection,
                       complete
handle.run_ended       pausing, run_queue; or slowdown, service_time, fail, evict_key, release, run, stop,
                       complete; then start_queued                    reject
handle.caller_gone     run_queue, complete                            stop; or evict_key, release
handle.awaiting_call   runs, dependency_calls, start_queued           call, degrade, run, stop, reject,
                                                                      fail, release
handle.call_ended      dependency_calls, runs or complete; then       fail, call, degrade, run, stop,
                       dependency_calls, start_queued                 reject, release
on_timer: measurements deadlines, gauges, caller_reuse,               release
                       idempotency_keys, runs
on_timer: overdue      expiry, deadlines, graceful_shutdown, complete reject, fail, stop, evict_key, release
on_timer: control      slowdown, arrival_statistics,                  set_shed_level or set_credit,
                       admission_control, concurrency, feedback,      set_health, set_idle_timeout, log
                       graceful_shutdown, health, idle_timeout
on_timer: waiting RPCs dependency_calls, start_queued                 call, degrade, run, stop, reject,
                                                                      fail, release, set_timer
drain                  graceful_shutdown                              set_health, log
worker_pool_restarted  warm_up                                        none
====================== ============================================== ======================================
"""
