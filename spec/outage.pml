/*
 * Run-once keys during an outage of the platform.
 *
 * Host OLD owns the pool's journal. Host NEXT takes it over when it can reach
 * the platform. Each host is connected to the platform or not, and a host may
 * be disconnected although the platform is up. Any step may be delayed, which
 * also models pauses.
 *
 * One key is sent to both hosts, at any time and in any order. The key
 * contains its creation time, which is at most SKEW ahead of the clock
 * or lies in the past.
 * The property is that the key is dispatched at most once.
 *
 * Rules (at most one is defined; without any, the strict rule applies: a host
 * dispatches only keys that are journalled):
 *   MAJORITY  OLD dispatches from memory while a majority of the hosts report
 *             that they cannot reach the platform; NEXT answers "unknown" for
 *             keys whose time is in the interval without a journal.
 *   WINDOW    the journal records up to which key time OLD may dispatch from
 *             memory; NEXT answers "unknown" for keys below that time.
 */

#define HOSTS   3
#define OLD     0
#define NEXT    1
#define QUORUM  2
#define SKEW    1
#define HORIZON 3       /* maximum of the clock */
#define WINDOW_LENGTH 1
#ifndef OUTAGES
#define OUTAGES 2
#endif
#define UNSET   255

bool up = true;
bool connected[HOSTS];  /* the host can reach the platform */
bool fenced[HOSTS];     /* the host knows of the takeover */
byte now, outages;
byte keyTime = UNSET;
byte dispatches;

/* Journal. */
bool journalled;        /* the key is reserved */
bool takenOver;
byte coveredFrom;       /* key time from which OLD may dispatch from memory */
byte windowEnd;

/* Memory of OLD and NEXT. */
bool oldDone, nextServes, nextDone;
byte durableTime;       /* time of the last record that OLD knows is durable */
byte durableWindowEnd;
byte fenceTime, nextCoveredFrom, nextWindowEnd;

init {
#ifdef SAME_VIEW
	d_step { connected[0] = true; connected[1] = true; connected[2] = true }
#else
	skip
#endif
}

inline dispatch() {
	dispatches++;
	assert(dispatches <= 1)
}

/* ---- clock, caller and platform ---- */

active proctype clock() {
end:
	do
	:: d_step { now < HORIZON -> now++ }
	od
}

active proctype caller() {
	byte time;
end:
	do
	:: atomic { keyTime == UNSET ->
		select(time : 0 .. now + SKEW);
		d_step { keyTime = time; time = 0 } }
	od
}

#define CONNECTIVITY(h) \
	:: d_step { up && !connected[h] -> connected[h] = true } \
	:: d_step { connected[h] -> connected[h] = false }

active proctype platform() {
end:
	do
	:: d_step { up && outages < OUTAGES ->
		up = false; outages++; connected[0] = false; connected[1] = false; connected[2] = false }
#ifdef SAME_VIEW
	:: d_step { !up -> up = true; connected[0] = true; connected[1] = true; connected[2] = true }
#else
	:: d_step { !up -> up = true }
	CONNECTIVITY(0)
	CONNECTIVITY(1)
	CONNECTIVITY(2)
#endif
#ifdef HOST_RESTARTS
	:: d_step { fenced[2] -> fenced[2] = false }
#endif
	od
}

/* ---- OLD ---- */

#define REACHES(h) (up && connected[h])

/* The key time from which OLD dispatches from memory and NEXT answers
 * "unknown". */
#ifdef NO_AGE_CHECK
#define RECENT_ENOUGH true
#else
#define RECENT_ENOUGH (keyTime + SKEW >= durableTime)
#endif

#ifdef CHECK_BEFORE_KEY
#define MAY_CHECK true
#else
#define MAY_CHECK (keyTime != UNSET)
#endif

#define CONFIRM(h) \
	:: d_step { checking && !confirmed[h] && !connected[h] && !fenced[h] -> confirmed[h] = true }

/* The first record after an outage contains what was dispatched from memory. A
 * record also contains the time of the last record known to be durable, not its
 * own time, since the response to its own write may be lost. */
#ifdef OMIT_BACKLOG
#define BACKLOG false
#else
#define BACKLOG oldDone
#endif
#ifdef RECORD_COVERS_ITSELF
#define COVERED now
#else
#define COVERED durableTime
#endif

active proctype old() {
	bool checking;
	bool confirmed[HOSTS];
end:
	do
	:: d_step { REACHES(OLD) && !takenOver && keyTime != UNSET && !journalled && !oldDone ->
		journalled = true; oldDone = true; dispatch() }

#ifdef MAJORITY
	/* OLD writes a record; the response arrives in the first case and is lost in
	 * the second. */
	:: d_step { REACHES(OLD) && !takenOver ->
		journalled = journalled || BACKLOG; coveredFrom = COVERED; durableTime = now }
	:: d_step { REACHES(OLD) && !takenOver ->
		journalled = journalled || BACKLOG; coveredFrom = COVERED }

	:: d_step { !checking && !oldDone && !connected[OLD] && MAY_CHECK -> checking = true }
	CONFIRM(0)
	CONFIRM(1)
	CONFIRM(2)
	:: d_step { checking && keyTime != UNSET && !oldDone && RECENT_ENOUGH &&
		confirmed[0] + confirmed[1] + confirmed[2] >= QUORUM ->
#ifdef REACH_MEMORY
		assert(!takenOver);
#endif
		oldDone = true; dispatch() }
#endif

#ifdef WINDOW
	:: d_step { REACHES(OLD) && !takenOver -> windowEnd = now + WINDOW_LENGTH; durableWindowEnd = windowEnd }
	:: d_step { REACHES(OLD) && !takenOver -> windowEnd = now + WINDOW_LENGTH }
#ifdef WINDOW_BEFORE_DURABLE
	:: d_step { durableWindowEnd < now + WINDOW_LENGTH -> durableWindowEnd = now + WINDOW_LENGTH }
#endif
	:: d_step { keyTime != UNSET && keyTime < durableWindowEnd && !oldDone ->
#ifdef REACH_MEMORY
		assert(!takenOver);
#endif
		oldDone = true; dispatch() }
#endif
	od
}

/* ---- NEXT ---- */

#ifdef MAJORITY
#define ANSWER_UNKNOWN (keyTime + SKEW >= nextCoveredFrom && keyTime <= fenceTime + SKEW)
#endif
#ifdef WINDOW
#define ANSWER_UNKNOWN (keyTime < nextWindowEnd)
#endif
#ifndef ANSWER_UNKNOWN
#define ANSWER_UNKNOWN false
#endif

#define ACKNOWLEDGE(h) \
	:: d_step { takenOver && !nextServes && !acknowledged[h] -> \
		fenced[h] = true; acknowledged[h] = true; fenceTime = now }

active proctype next() {
	bool acknowledged[HOSTS];
end:
	do
	:: d_step { REACHES(NEXT) && !takenOver ->
		takenOver = true; nextCoveredFrom = coveredFrom; nextWindowEnd = windowEnd; fenceTime = now;
#ifndef FENCE
		nextServes = true
#endif
		}
#ifdef FENCE
	ACKNOWLEDGE(0)
	ACKNOWLEDGE(1)
	ACKNOWLEDGE(2)
	:: d_step { takenOver && !nextServes &&
		acknowledged[0] + acknowledged[1] + acknowledged[2] >= QUORUM -> nextServes = true }
#endif
	:: d_step { nextServes && keyTime != UNSET && !nextDone && (journalled || ANSWER_UNKNOWN) -> nextDone = true }
	:: d_step { nextServes && REACHES(NEXT) && keyTime != UNSET && !nextDone && !journalled && !ANSWER_UNKNOWN ->
#ifdef REACH_NEXT
		assert(outages == 0);
#endif
		journalled = true; nextDone = true; dispatch() }
	od
}
