"""The decisions of one node about its RPCs: which it admits, runs, rejects and fails.

Pure state and decisions: no I/O, no lock, no clock, and one thread. It must never know a protocol, a socket
or a host. A host implements `Port` (port.py), makes one `NodeController(port, settings, seed)` for each node,
calls its methods and those of the handles that `admit` returns; the module answers through the port, inside
these calls. Times are whole microseconds on the host's one clock, memory is in units of 1024 bytes; an RPC is
named by a small index that the host assigns. Why the module decides as it does: docs/design.md.

Import the modules themselves: this package re-exports nothing, as hosts and codecs need single types of it.

An RPC is QUEUED, then RUNNING, then COMPLETED. A run that needs the dependency is AWAITING_CALL, then
CALLING, and RUNNING again; one that yields its core is PAUSED and queued again. A duplicate never runs, it is
SHARING.

Reading order:

1. Types between module and host: outcome.py, gauges.py, arrival.py, port.py, node_settings.py.
2. controller.py: what a host calls. rpc.py: an RPC, its states and its handle. node_state.py: all state.
3. State, each part with its invariant: rpc_table.py, run_queue.py, runs.py, memory.py, idempotency_keys.py,
   method.py, service_time.py (histogram.py), slowdown.py, warm_up.py, concurrency.py, caller_reuse.py,
   arrival_statistics.py, graceful_shutdown.py, deadlines.py, dependency_calls.py (token_bucket.py).
4. An RPC's way: admission.py, admission_checks.py (rejection_reason.py), duplicates.py, expected_wait.py,
   run_starter.py, pausing.py, rpc_events.py, completion.py (rejection.py).
5. The timer: expiry.py, control_loop.py, admission_control.py, feedback.py, health.py, idle_timeout.py
   (hysteresis.py).

What an input leads to. Modules are asked in this order; `start_queued` is run_starter.py, which may pause
(pausing.py) or drop RPCs (completion.py), and `complete` is completion.py:

====================== ============================================== ======================================
input                  modules asked, in order                        effects (port calls)
====================== ============================================== ======================================
start                  warm_up, dependency_calls, idle_timeout        set_health, set_idle_timeout,
                                                                      set_timer
admit: a duplicate     caller_reuse, admission, arrival_statistics,   answer_duplicate; or fail, release
                       rpc_table, memory, duplicates
admit: any other       as above but duplicates; expected_wait,        store_key, run, stop; or reject,
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
on_timer: measures     deadlines, gauges, caller_reuse,               release
                       idempotency_keys, runs
on_timer: overdue      expiry, deadlines, graceful_shutdown, complete reject, fail, stop, evict_key, release
on_timer: control      slowdown, arrival_statistics,                  set_shed_level or set_credit,
                       admission_control, concurrency, feedback,      set_health, set_idle_timeout, log
                       graceful_shutdown, health, idle_timeout
on_timer: what waits   dependency_calls, start_queued                 call, degrade, run, stop, reject,
                                                                      fail, release, set_timer
drain                  graceful_shutdown                              set_health, log
worker_pool_restarted  warm_up                                        none
====================== ============================================== ======================================
"""
