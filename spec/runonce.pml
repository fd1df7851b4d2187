/*
 * Run-once dispatch of one idempotency key.
 *
 * Two entries request grants, two schedulers alternately own the journal of
 * the pool, and the platform applies conditional updates to the slots of the
 * journal. Every process may pause at any point, possibly forever, and may
 * crash and restart. A message that was sent remains in the network, so it
 * may arrive late, more than once, or never.
 *
 * Properties (assertions):
 *   - the key is dispatched at most once;
 *   - an attempt that was reported to a caller as "not run" is never
 *     dispatched;
 *   - after a durable finish record no reservation is added and nothing is
 *     dispatched;
 *   - all records between a takeover record and the next one are written by
 *     the owner that wrote the takeover record.
 *
 * Each #ifdef removes one guard or varies the protocol; cases.txt has the
 * expected result for each. The assertions under REACH_ fail on purpose, to
 * show that the search reaches these states.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3      /* total number of attempts, each with its own id */
#endif
#ifndef TERMS
#define TERMS    2      /* total scheduler starts, each with its own term */
#endif
#define SLOTS    2      /* number of platform objects that hold the journal */
#define CAPACITY 4      /* largest slot limit */

/* Record kinds. */
#define NONE     0
#define TAKEOVER 1
#define RESERVE  2
#define RELEASE  3
#define FINISH   4

/* States of the key, as known to a scheduler. */
#define FRESH    0
#define RESERVED 1
#define FINISHED 2

/* Modes of a scheduler. */
#define DOWN        0
#define READING     1
#define TAKING_OVER 2
#define SERVING     3

/* States of an entry. */
#define IDLE              0
#define WAITING_FOR_GRANT 1
#define DISPATCHED        2

typedef Slot {
	byte count;             /* number of records, also the slot's version */
	byte limit;             /* set by the writer of the first record */
	byte first;             /* sequence number of the first record */
	byte kind[CAPACITY];
	byte attempt[CAPACITY];
	byte term[CAPACITY];
};

/* Write is a conditional update in flight. A scheduler has at most one. */
typedef Write {
	byte kind;              /* NONE: no write in flight */
	byte attempt;
	byte term;
	byte slot;
	byte version;           /* version that the slot must have */
	byte sequence;
	byte limit;
};

typedef Scheduler {
	byte mode;
	byte term;
	byte key;
	byte holder;            /* attempt that reserved or finished the key */
	bool releasedAttempts[ATTEMPTS + 1];  /* these are not reserved again */
	byte sequence;          /* sequence number of the last known record */
	byte slot;              /* position of the next record: slot and version */
	byte version;
	byte kind;              /* record being written: kind and attempt */
	byte attempt;
};

Slot journal[SLOTS];
Write inFlight[2];
Scheduler scheduler[2];

byte lastAttempt;
byte lastTerm;

/* Messages in the network, by attempt. Every attempt up to lastAttempt has
 * requested a grant. */
bool granted[ATTEMPTS + 1];
bool released[ATTEMPTS + 1];
bool finished[ATTEMPTS + 1];

/* Variables that only assertions use. */
byte dispatches;
bool reportedNotRun[ATTEMPTS + 1];
byte finishedBy;                /* attempt of the durable finish record */
byte ownerTerm;                 /* term of the last takeover record */

/* ---- platform ---- */

#ifdef UNCONDITIONAL_WRITE
#define CONDITION(w) true
#else
#define CONDITION(w) (journal[inFlight[w].slot].count == inFlight[w].version)
#endif

inline discardWrite(w) {
	inFlight[w].kind = NONE; inFlight[w].attempt = 0; inFlight[w].term = 0;
	inFlight[w].slot = 0; inFlight[w].version = 0; inFlight[w].sequence = 0;
	inFlight[w].limit = 0
}

inline applyWrite(w) {
	s = inFlight[w].slot;
	v = inFlight[w].version;
	journal[s].kind[v] = inFlight[w].kind;
	journal[s].attempt[v] = inFlight[w].attempt;
	journal[s].term[v] = inFlight[w].term;
	journal[s].count = v + 1;
	if
	:: v == 0 -> journal[s].limit = inFlight[w].limit; journal[s].first = inFlight[w].sequence
	:: else
	fi;
	if
	:: inFlight[w].kind == FINISH -> finishedBy = inFlight[w].attempt;
#ifdef REACH_FINISH
		assert(inFlight[w].term == 1 || inFlight[w].slot == 0)
#endif
	:: inFlight[w].kind == TAKEOVER -> ownerTerm = inFlight[w].term
	:: inFlight[w].kind == RESERVE -> assert(finishedBy == 0)
	:: else
	fi;
#ifndef NO_OWNER_PROPERTY
	assert(inFlight[w].term == ownerTerm);
#endif
	s = 0; v = 0;
	discardWrite(w)
}

/* A write may take effect at any time after it was sent, even long after its
 * sender stopped waiting for it. A write whose condition fails has no effect. */
active proctype platform() {
	byte s, v;
end:
	do
	:: d_step { inFlight[0].kind != NONE && CONDITION(0) ->
		applyWrite(0);
		if
		:: inFlight[1].kind != NONE && !CONDITION(1) -> discardWrite(1)
		:: else
		fi }
	:: d_step { inFlight[1].kind != NONE && CONDITION(1) ->
		applyWrite(1);
		if
		:: inFlight[0].kind != NONE && !CONDITION(0) -> discardWrite(0)
		:: else
		fi }
	od
}

/* ---- schedulers ---- */

/* Slot limits may differ between schedulers, for example between releases. */
#define OWN_LIMIT(o) (o + 3)

#ifdef USE_OWN_SLOT_LIMIT
#define LIMIT(o) OWN_LIMIT(o)
#else
#define LIMIT(o) journal[scheduler[o].slot].limit
#endif

#define SLOT_FULL(o) (scheduler[o].version > 0 && scheduler[o].version >= LIMIT(o))
#define JOURNAL_FULL(o) (SLOT_FULL(o) && scheduler[o].slot + 1 == SLOTS)
#define CAN_WRITE(o) (inFlight[o].kind == NONE && !JOURNAL_FULL(o))

inline resetState(o) {
	scheduler[o].key = FRESH; scheduler[o].holder = 0; scheduler[o].sequence = 0;
	scheduler[o].slot = 0; scheduler[o].version = 0;
	scheduler[o].kind = NONE; scheduler[o].attempt = 0;
	for (i : 0 .. ATTEMPTS) { scheduler[o].releasedAttempts[i] = false }
	i = 0
}

/* applyRecord updates the state of the scheduler from one record. */
inline applyRecord(o, recordKind, attemptId) {
	if
	:: recordKind == RESERVE -> scheduler[o].key = RESERVED; scheduler[o].holder = attemptId
	:: recordKind == RELEASE -> scheduler[o].key = FRESH; scheduler[o].releasedAttempts[attemptId] = true;
		scheduler[o].holder = 0
#ifdef FORGET_FINISH
	:: recordKind == FINISH -> scheduler[o].key = FRESH; scheduler[o].holder = 0
#else
	:: recordKind == FINISH -> scheduler[o].key = FINISHED; scheduler[o].holder = attemptId
#endif
	:: else
	fi
}

/* replay applies the records of the slots as they were read. The state read
 * from one slot may lack records that were written before a later slot was
 * read. The sequence numbers then have a gap, and the slots are read again. */
inline replay(o) {
	for (i : 0 .. SLOTS - 1) {
		if
		:: seen[i] > 0 ->
#if !defined(NO_GAP_CHECK) && !defined(REREAD_SLOTS)
			gap = gap || (journal[i].first != scheduler[o].sequence + 1);
#endif
			for (j : 0 .. seen[i] - 1) {
				applyRecord(o, journal[i].kind[j], journal[i].attempt[j])
			}
			scheduler[o].sequence = journal[i].first + seen[i] - 1;
			scheduler[o].slot = i;
			scheduler[o].version = seen[i]
		:: else
		fi;
		seen[i] = 0
	}
	i = 0; j = 0
}

/* startWrite sends one record for the next position: in the head slot, or in
 * the following slot if the head slot is full. */
inline startWrite(o, recordKind, attemptId) {
	if
	:: SLOT_FULL(o) -> scheduler[o].slot = scheduler[o].slot + 1; scheduler[o].version = 0
	:: else
	fi;
	scheduler[o].kind = recordKind; scheduler[o].attempt = attemptId;
	inFlight[o].kind = recordKind; inFlight[o].attempt = attemptId; inFlight[o].term = scheduler[o].term;
	inFlight[o].slot = scheduler[o].slot; inFlight[o].version = scheduler[o].version;
	inFlight[o].sequence = scheduler[o].sequence + 1; inFlight[o].limit = OWN_LIMIT(o)
}

/* The scheduler learns from the response whether a write took effect. If the
 * response is lost or names another version, it reads the slot back. While the
 * result is undecided, it sends the write again, which is the same as the
 * first one arriving late. */
#define HEAD(o)     journal[scheduler[o].slot]
#define WRITING(o)  (scheduler[o].kind != NONE)
#define DECIDED(o)  (WRITING(o) && HEAD(o).count > scheduler[o].version)
#define IS_OWN_RECORD(o)  (HEAD(o).kind[scheduler[o].version] == scheduler[o].kind && \
                     HEAD(o).attempt[scheduler[o].version] == scheduler[o].attempt && \
                     HEAD(o).term[scheduler[o].version] == scheduler[o].term)

#ifdef ASSUME_WRITTEN
#define WRITTEN(o) WRITING(o)
#else
#define WRITTEN(o) (DECIDED(o) && IS_OWN_RECORD(o))
#endif

/* A scheduler that was paused may learn late that its reservation is durable,
 * and grant an attempt that has been released in the meantime. That is the
 * same as a grant that arrives late: the entry has discarded the attempt. */
inline grant(a) { granted[a] = true }

inline completeWrite(o) {
	applyRecord(o, scheduler[o].kind, scheduler[o].attempt);
	scheduler[o].sequence = scheduler[o].sequence + 1;
	scheduler[o].version = scheduler[o].version + 1;
	j = scheduler[o].attempt;
	if
	:: scheduler[o].kind == RESERVE -> grant(j)
	:: else
	fi;
	j = 0;
	scheduler[o].kind = NONE; scheduler[o].attempt = 0
}

#define READY(o)    (scheduler[o].mode == SERVING && !WRITING(o) && CAN_WRITE(o))
#define HOLDS(o, a) (scheduler[o].mode == SERVING && scheduler[o].key == RESERVED && \
                     scheduler[o].holder == a)

#ifdef GRANT_ANY_ATTEMPT
#define MAY_REPEAT_GRANT(o, a) (scheduler[o].mode == SERVING && scheduler[o].key == RESERVED)
#else
#define MAY_REPEAT_GRANT(o, a) HOLDS(o, a)
#endif

#ifdef RELEASE_UNCHECKED
#define MAY_RELEASE(o, a) (READY(o) && scheduler[o].key == RESERVED)
#else
#define MAY_RELEASE(o, a) (READY(o) && HOLDS(o, a))
#endif

#ifdef GRANT_BEFORE_DURABLE
#define EARLY_GRANT(a) grant(a)
#else
#define EARLY_GRANT(a) skip
#endif

#ifdef RESERVE_RELEASED_ATTEMPT
#define MAY_RESERVE(o, a) (READY(o) && scheduler[o].key == FRESH)
#else
#define MAY_RESERVE(o, a) (READY(o) && scheduler[o].key == FRESH && !scheduler[o].releasedAttempts[a])
#endif

/* Steps that handle the messages of an attempt. Any other request is answered
 * "in progress" or "already run", which changes no state of this model. */
#define HANDLE_MESSAGES(a) \
	:: d_step { a <= lastAttempt && MAY_RESERVE(o, a) -> startWrite(o, RESERVE, a); EARLY_GRANT(a) } \
	:: d_step { a <= lastAttempt && !granted[a] && MAY_REPEAT_GRANT(o, a) -> grant(a) } \
	:: d_step { released[a] && MAY_RELEASE(o, a) -> startWrite(o, RELEASE, scheduler[o].holder) } \
	:: d_step { finished[a] && READY(o) && HOLDS(o, a) -> startWrite(o, FINISH, a) }

proctype schedulerProcess(byte o) {
	byte i, j, x, y;
	byte seen[SLOTS];
	bool gap;
end:
	do
	/* Start, or crash and restart. */
	:: d_step { lastTerm < TERMS ->
		resetState(o);
		lastTerm++; scheduler[o].term = lastTerm; scheduler[o].mode = READING }

	/* A write of an earlier term may be lost. */
	:: d_step { inFlight[o].kind != NONE && inFlight[o].term != scheduler[o].term -> discardWrite(o) }

	/* The slots are read in any order and at different times, and a read may
	 * be stale: it returns any state that the slot has had so far. */
	:: atomic { scheduler[o].mode == READING && inFlight[o].kind == NONE ->
		select(x : 0 .. journal[0].count);
		select(y : 0 .. journal[1].count);
		d_step {
#ifdef REREAD_SLOTS
			/* Once the head is known, the slots before it are read again. If
			 * reads are never stale, this returns their final state. */
			if
			:: y > 0 -> x = journal[0].count
			:: else
			fi;
#endif
			seen[0] = x; seen[1] = y; x = 0; y = 0;
			replay(o);
			if
			:: gap -> resetState(o)
			:: !gap && JOURNAL_FULL(o) -> resetState(o); scheduler[o].mode = DOWN
#ifdef NO_TAKEOVER
			:: else -> scheduler[o].mode = SERVING; ownerTerm = scheduler[o].term
#else
			:: else -> startWrite(o, TAKEOVER, 0); scheduler[o].mode = TAKING_OVER
#endif
			fi;
			gap = false
		} }
	:: d_step { scheduler[o].mode == TAKING_OVER && WRITTEN(o) -> completeWrite(o); scheduler[o].mode = SERVING }
	:: d_step { scheduler[o].mode == TAKING_OVER && DECIDED(o) && !IS_OWN_RECORD(o) ->
		resetState(o); scheduler[o].mode = READING }

	HANDLE_MESSAGES(1)
	HANDLE_MESSAGES(2)
#if ATTEMPTS > 2
	HANDLE_MESSAGES(3)
#endif
	:: d_step { scheduler[o].mode == SERVING && WRITTEN(o) -> completeWrite(o) }
	/* Another scheduler wrote at this position, so this one has lost the
	 * ownership of the journal. */
	:: d_step { scheduler[o].mode == SERVING && DECIDED(o) && !IS_OWN_RECORD(o) ->
#ifdef KEEP_STATE_WHEN_DEPOSED
		scheduler[o].version = HEAD(o).count; scheduler[o].kind = NONE; scheduler[o].attempt = 0 }
#else
		resetState(o); scheduler[o].mode = DOWN; scheduler[o].term = 0 }
#endif
	od
}

/* ---- entries ---- */

inline dispatch(a) {
#ifdef REACH_DISPATCH
	assert(!(a > 1 && released[1] && ownerTerm > 1));
#endif
	dispatches++;
	assert(dispatches <= 1);
	assert(finishedBy == 0);
	assert(!reportedNotRun[a])
}

proctype entry() {
	byte state, attempt;
end:
	do
	/* A caller sends the key, for the first time or again. In a state other
	 * than IDLE this stands for an entry that crashed, got the reply "in
	 * progress" or "already run", or reported the outcome as unknown. In each
	 * case it discards its attempt. */
	:: d_step { lastAttempt < ATTEMPTS ->
		lastAttempt++; attempt = lastAttempt; state = WAITING_FOR_GRANT }
	:: d_step { state == WAITING_FOR_GRANT && granted[attempt] -> dispatch(attempt); state = DISPATCHED }
	/* The deadline passed, the caller disconnected, or the endpoint refused
	 * the connection: the entry will never dispatch this attempt. */
	:: d_step { state == WAITING_FOR_GRANT ->
		reportedNotRun[attempt] = true; released[attempt] = true;
#ifndef ACCEPT_LATE_GRANT
		state = IDLE; attempt = 0
#endif
		}
	:: d_step { state == DISPATCHED -> finished[attempt] = true; state = IDLE; attempt = 0 }
#ifdef DISPATCH_TWICE
	:: d_step { state == DISPATCHED && granted[attempt] -> dispatch(attempt) }
#endif
#ifdef RELEASE_AFTER_DISPATCH
	:: d_step { state == DISPATCHED -> released[attempt] = true; state = IDLE; attempt = 0 }
#endif
#ifdef NOT_RUN_AFTER_DISPATCH
	:: d_step { state == DISPATCHED -> reportedNotRun[attempt] = true; state = IDLE;
		assert(dispatches == 0); attempt = 0 }
#endif
#ifdef ATTEMPT_SURVIVES_RESTART
	:: d_step { state == DISPATCHED -> state = WAITING_FOR_GRANT }
#endif
	od
}

init {
	byte i;
	d_step {
		resetState(0); resetState(1)
	};
	atomic { run schedulerProcess(0); run schedulerProcess(1); run entry(); run entry() }
}
