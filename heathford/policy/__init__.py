"""All routing decisions of heathford: which engines a request is sent to, and what follows a failed attempt.

The code that carries the decisions out makes one Router, passes it the endpoint list (begin_list_update,
update_engine, end_list_update) and the requests (accept returns the object that takes all later events), and
calls decide after each batch of these. The types, and the actions that the Router calls in turn, are in
heathford/interface.py; the reasons for the design are in docs/design.md.

The basic design: two fitted prefill times and their balanced split choose a prefill or a combined engine;
limits on attempts in flight; prefill engines by consistent hashing; decode engines near the prefill engine,
chosen after the prefill. Six mechanisms complete it:
1. ramp-up: an engine after a failure or a start gets one attempt, then twice as many while it goes well
2. slow start: all front nodes together send a cold engine a share of what a warm engine answers, however
   many requests lead there
3. cooldowns: an engine that is slow, silent or refuses work gets nothing for a while, longer each time in a
   row
4. capacity: reported memory, slots and queue tell which engine can take one more; other requests wait
5. further attempts: which requests may be retried, rate-limited or only aborted, and the release of states
6. admission: little more is admitted than is answered in time; requests that are late anyway are shed
"""

from heathford.policy.request_state import RequestState as RequestState
from heathford.policy.router import Router as Router
