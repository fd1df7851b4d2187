/*
 * Versions of the manifest during restarts and outages of the platform.
 *
 * Each host keeps the highest version it has seen, learns newer ones from the
 * platform and from its peers, and has forgotten everything after a restart.
 * It then serves only after at least one peer that serves has answered; only
 * where no host serves at all it starts from the platform.
 *
 * Property: a host that starts to serve has at least the version that was in
 * force everywhere when it stopped, that is, at all hosts that serve or have
 * been answered and are about to serve.
 */

#define HOSTS    3
#define VERSIONS 3

bool up = true;
byte stored = 1;                /* version in the platform */
byte held[HOSTS];               /* highest version seen, in force if it serves */
bool serving[HOSTS];
bool answered[HOSTS];           /* a peer or the platform answered since the start */

/* Observations for the assertions only. */
byte everywhere = 1;            /* highest version that was in force everywhere */
byte required[HOSTS];           /* the same, when the host stopped */
byte highest[HOSTS];            /* highest version in force at this host so far */

#define NOBODY_SERVES (!serving[0] && !serving[1] && !serving[2])
#define HAS(h, v)     (!answered[h] || held[h] >= v)
#define REACHED(v)    (HAS(0, v) && HAS(1, v) && HAS(2, v) && (answered[0] || answered[1] || answered[2]))

inline observe() {
	if
	:: everywhere < 3 && REACHED(3) -> everywhere = 3
	:: everywhere < 2 && REACHED(2) && !REACHED(3) -> everywhere = 2
	:: else
	fi
}

inline raise(h, version) {
	if
#ifdef LOWER_VERSION_TAKEN
	:: true -> held[h] = version
#else
	:: version > held[h] -> held[h] = version
	:: else
#endif
	fi;
	if
	:: serving[h] && held[h] > highest[h] -> highest[h] = held[h]
	:: else
	fi;
	observe();
	assert(!serving[h] || held[h] >= required[h])
}

active proctype platform() {
end:
	do
	:: d_step { up && stored < VERSIONS -> stored++ }
	:: d_step { up -> up = false }
	:: d_step { !up -> up = true }
	od
}

#ifdef UNREADY_PEER_ANSWERS
#define CAN_ANSWER(p) true
#else
#define CAN_ANSWER(p) serving[p]
#endif

/* An answer of a peer, or a message of it that names its version. */
#define LEARN_FROM(p) \
	:: d_step { h != p && CAN_ANSWER(p) && (held[p] > held[h] || !answered[h]) -> \
		answered[h] = true; raise(h, held[p]) }

/* A read of the platform may be stale. */
#define READ(version) \
	:: d_step { up && serving[h] && version <= stored && version != held[h] -> raise(h, version) }

proctype host(byte h) {
end:
	do
	/* Crash and restart. */
	:: d_step { serving[h] ->
		serving[h] = false; held[h] = 0; answered[h] = false; required[h] = everywhere }
	LEARN_FROM(0)
	LEARN_FROM(1)
	LEARN_FROM(2)
	READ(1)
	READ(2)
	READ(3)
	:: d_step { up && !answered[h] && NOBODY_SERVES -> answered[h] = true;
#ifdef STALE_START
		raise(h, 1) }
#else
		raise(h, stored) }
#endif
#ifdef NO_ANSWER_AWAITED
	:: d_step { !serving[h] && !answered[h] -> answered[h] = true; held[h] = 1 }
#endif
	:: d_step { !serving[h] && answered[h] ->
		serving[h] = true;
#ifdef REACH_OUTAGE_START
		assert(up || held[h] < 2);
#endif
#ifdef PER_HOST
		assert(held[h] >= highest[h]);
#endif
		assert(held[h] >= required[h]);
		raise(h, held[h]) }
	od
}

init {
	d_step {
		held[0] = 1; serving[0] = true; answered[0] = true; highest[0] = 1;
		held[1] = 1; serving[1] = true; answered[1] = true; highest[1] = 1;
		held[2] = 1; serving[2] = true; answered[2] = true; highest[2] = 1
	};
	atomic { run host(0); run host(1); run host(2) }
}
