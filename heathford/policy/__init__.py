"""Every decision of heathford: where a completion is read and written, and what is done when that fails.

A carrier makes one Router an instance, tells it the list of engines (list_begins, list_row, list_ends), gives
it completions (take returns the handle that all later events are calls on) and calls decide after each batch
of these. The types, and what it calls in turn, stand in heathford/interface.py; reasons in docs/design.md.

The design: two fitted read times and their balanced cut choose a reader or a mixed server; gates; hashed
readers; near writers chosen after the read. Beside it stand six mechanisms:
1. trickle: an engine set aside, or just started, gets one dispatch, then twice as many while it goes well
2. parts: of what leads to a cold engine, all fronts let in the same part, less of hot texts
3. rests: an engine that is slow, silent or turns work away rests, longer each time in a row
4. room: reported memory, slots and queue tell who can take one more; the rest waits
5. further dispatches: what may be sent again, rate-limited or only aborted, and the release of what is held
6. admission: little more is let in than is answered in time; what can hardly be any more makes way
"""

from heathford.policy.request_state import RequestState as RequestState
from heathford.policy.router import Router as Router
