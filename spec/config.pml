/*
 * Versions of the manifest during restarts and outages of the platform.
 *
 * Each host keeps the highest version that it has seen and learns newer ones
 * from the platform and from its peers. A restart loses this state. The host
 * then serves only after at least one serving peer has responded. Only if no
 * host serves does it start from the platform.
 *
 * Property: a host that starts to serve has at least the version that was in
 * force everywhere when it stopped. Everywhere means at all hosts that serve,
 * or that have got a response and are about to serve.
 */

#define HOSTS    3
#define VERSIONS 3

bool up = true;
byte stored = 1;                /* version stored by the platform */
byte known[HOSTS];              /* highest version seen, in force if the host serves */
bool serving[HOSTS];
bool answered[HOSTS];           /* a peer or the platform has responded since the start */

/* Variables that only assertions use. */
byte inForceEverywhere = 1;     /* highest version that was in force everywhere */
byte minVersion[HOSTS];         /* inForceEverywhere when the host stopped */
byte highestInForce[HOSTS];     /* highest version in force at this host so far */

#define NOBODY_SERVES         (!serving[0] && !serving[1] && !serving[2])
#define HAS_VERSION(h, v)     (!answered[h] || known[h] >= v)
#define REACHED_EVERYWHERE(v) (HAS_VERSION(0, v) && HAS_VERSION(1, v) && HAS_VERSION(2, v) && (answered[0] || answered[1] || answered[2]))

inline observe() {
	if
	:: inForceEverywhere < 3 && REACHED_EVERYWHERE(3) -> inForceEverywhere = 3
	:: inForceEverywhere < 2 && REACHED_EVERYWHERE(2) && !REACHED_EVERYWHERE(3) -> inForceEverywhere = 2
	:: else
	fi
}

inline adoptVersion(h, version) {
	if
#ifdef ACCEPT_LOWER_VERSION
	:: true -> known[h] = version
#else
	:: version > known[h] -> known[h] = version
	:: else
#endif
	fi;
	if
	:: serving[h] && known[h] > highestInForce[h] -> highestInForce[h] = known[h]
	:: else
	fi;
	observe();
	assert(!serving[h] || known[h] >= minVersion[h])
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

/* A response of a peer, or another message of the peer with its version. */
#define LEARN_FROM(p) \
	:: d_step { h != p && CAN_ANSWER(p) && (known[p] > known[h] || !answered[h]) -> \
		answered[h] = true; adoptVersion(h, known[p]) }

/* A read from the platform may be stale. */
#define READ_PLATFORM(version) \
	:: d_step { up && serving[h] && version <= stored && version != known[h] -> adoptVersion(h, version) }

proctype host(byte h) {
end:
	do
	/* Crash and restart. */
	:: d_step { serving[h] ->
		serving[h] = false; known[h] = 0; answered[h] = false; minVersion[h] = inForceEverywhere }
	LEARN_FROM(0)
	LEARN_FROM(1)
	LEARN_FROM(2)
	READ_PLATFORM(1)
	READ_PLATFORM(2)
	READ_PLATFORM(3)
	:: d_step { up && !answered[h] && NOBODY_SERVES -> answered[h] = true;
#ifdef STALE_START
		adoptVersion(h, 1) }
#else
		adoptVersion(h, stored) }
#endif
#ifdef SERVE_WITHOUT_ANSWER
	:: d_step { !serving[h] && !answered[h] -> answered[h] = true; known[h] = 1 }
#endif
	:: d_step { !serving[h] && answered[h] ->
		serving[h] = true;
#ifdef REACH_OUTAGE_START
		assert(up || known[h] < 2);
#endif
#ifdef PER_HOST
		assert(known[h] >= highestInForce[h]);
#endif
		assert(known[h] >= minVersion[h]);
		adoptVersion(h, known[h]) }
	od
}

init {
	d_step {
		known[0] = 1; serving[0] = true; answered[0] = true; highestInForce[0] = 1;
		known[1] = 1; serving[1] = true; answered[1] = true; highestInForce[1] = 1;
		known[2] = 1; serving[2] = true; answered[2] = true; highestInForce[2] = 1
	};
	atomic { run host(0); run host(1); run host(2) }
}
