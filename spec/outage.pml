/*
 * Run-once keys during an outage of the platform.
 *
 * Host OLD owns the pool's journal. Host NEXT takes it over when it can reach
 * the platform. Each host sees the platform or not, and may be wrong that it
 * is down. A pause is a step that does not happen; any step may be late.
 *
 * One key is sent to both hosts, at any time and in any order. Its time is
 * part of it and differs from the clock by at most SKEW ahead, or is older.
 * The property is that the key is dispatched at most once.
 *
 * Rules (one is defined; none means the strict rule, to dispatch only what is
 * journalled):
 *   MAJORITY  OLD dispatches from memory while a majority of the hosts says
 *             that it does not see the platform; NEXT answers "unknown" for
 *             keys whose time falls in the interval without a journal.
 *   WINDOW    the journal says up to which key time OLD may dispatch from
 *             memory; NEXT answers "unknown" for keys below that time.
 */

#define HOSTS   3
#define OLD     0
#define NEXT    1
#define QUORUM  2
#define SKEW    1
#define HORIZON 3       /* last time of the clock */
#define SPAN    1       /* length of a window */
#ifndef OUTAGES
#define OUTAGES 2
#endif
#define UNSET   255

bool up = true;
bool sees[HOSTS];       /* the host reaches the platform */
bool fenced[HOSTS];     /* the host knows of the takeover */
byte now, outages;
byte keyTime = UNSET;
byte dispatches;

/* Journal. */
bool journalled;        /* the key is reserved */
bool takenOver;
byte covers;            /* from here on OLD may dispatch from memory */
byte window;

/* Memory of OLD and NEXT. */
bool oldDone, nextServes, nextDone;
byte knownCovers;       /* time of the last record known to be durable */
byte knownWindow;
byte fenceTime, nextCovers, nextWindow;

init {
#ifdef SAME_VIEW
	d_step { sees[0] = true; sees[1] = true; sees[2] = true }
#else
	skip
#endif
}

inline dispatch() {
	dispatches++;
	assert(dispatches <= 1)
}

/* ---- surroundings ---- */

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

#define VISIBLE(h) \
	:: d_step { up && !sees[h] -> sees[h] = true } \
	:: d_step { sees[h] -> sees[h] = false }

active proctype platform() {
end:
	do
	:: d_step { up && outages < OUTAGES ->
		up = false; outages++; sees[0] = false; sees[1] = false; sees[2] = false }
#ifdef SAME_VIEW
	:: d_step { !up -> up = true; sees[0] = true; sees[1] = true; sees[2] = true }
#else
	:: d_step { !up -> up = true }
	VISIBLE(0)
	VISIBLE(1)
	VISIBLE(2)
#endif
#ifdef HOST_RESTARTS
	:: d_step { fenced[2] -> fenced[2] = false }
#endif
	od
}

/* ---- OLD ---- */

#define REACHES(h) (up && sees[h])

/* The times from which on OLD takes keys from memory and NEXT refuses them. */
#ifdef AGE_UNCHECKED
#define NOT_TOO_OLD true
#else
#define NOT_TOO_OLD (keyTime + SKEW >= knownCovers)
#endif

#ifdef CHECK_BEFORE_KEY
#define MAY_CHECK true
#else
#define MAY_CHECK (keyTime != UNSET)
#endif

#define CONFIRM(h) \
	:: d_step { checking && !confirmed[h] && !sees[h] && !fenced[h] -> confirmed[h] = true }

/* The first record after an outage holds what was dispatched from memory. A
 * record also names the time up to which earlier ones are known to be durable,
 * since its own answer may be lost. */
#ifdef BACKLOG_LATER
#define BACKLOG false
#else
#define BACKLOG oldDone
#endif
#ifdef COVERS_ITSELF
#define COVERED now
#else
#define COVERED knownCovers
#endif

active proctype old() {
	bool checking;
	bool confirmed[HOSTS];
end:
	do
	:: d_step { REACHES(OLD) && !takenOver && keyTime != UNSET && !journalled && !oldDone ->
		journalled = true; oldDone = true; dispatch() }

#ifdef MAJORITY
	/* A record, with its answer or without. */
	:: d_step { REACHES(OLD) && !takenOver ->
		journalled = journalled || BACKLOG; covers = COVERED; knownCovers = now }
	:: d_step { REACHES(OLD) && !takenOver ->
		journalled = journalled || BACKLOG; covers = COVERED }

	:: d_step { !checking && !oldDone && !sees[OLD] && MAY_CHECK -> checking = true }
	CONFIRM(0)
	CONFIRM(1)
	CONFIRM(2)
	:: d_step { checking && keyTime != UNSET && !oldDone && NOT_TOO_OLD &&
		confirmed[0] + confirmed[1] + confirmed[2] >= QUORUM ->
#ifdef REACH_MEMORY
		assert(!takenOver);
#endif
		oldDone = true; dispatch() }
#endif

#ifdef WINDOW
	:: d_step { REACHES(OLD) && !takenOver -> window = now + SPAN; knownWindow = window }
	:: d_step { REACHES(OLD) && !takenOver -> window = now + SPAN }
#ifdef WINDOW_BEFORE_DURABLE
	:: d_step { knownWindow < now + SPAN -> knownWindow = now + SPAN }
#endif
	:: d_step { keyTime != UNSET && keyTime < knownWindow && !oldDone ->
#ifdef REACH_MEMORY
		assert(!takenOver);
#endif
		oldDone = true; dispatch() }
#endif
	od
}

/* ---- NEXT ---- */

#ifdef MAJORITY
#define UNKNOWN (keyTime + SKEW >= nextCovers && keyTime <= fenceTime + SKEW)
#endif
#ifdef WINDOW
#define UNKNOWN (keyTime < nextWindow)
#endif
#ifndef UNKNOWN
#define UNKNOWN false
#endif

#define ACKNOWLEDGE(h) \
	:: d_step { takenOver && !nextServes && !acknowledged[h] -> \
		fenced[h] = true; acknowledged[h] = true; fenceTime = now }

active proctype next() {
	bool acknowledged[HOSTS];
end:
	do
	:: d_step { REACHES(NEXT) && !takenOver ->
		takenOver = true; nextCovers = covers; nextWindow = window; fenceTime = now;
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
	:: d_step { nextServes && keyTime != UNSET && !nextDone && (journalled || UNKNOWN) -> nextDone = true }
	:: d_step { nextServes && REACHES(NEXT) && keyTime != UNSET && !nextDone && !journalled && !UNKNOWN ->
#ifdef REACH_NEXT
		assert(outages == 0);
#endif
		journalled = true; nextDone = true; dispatch() }
	od
}
