/*
 * Configuration: the revision in force never decreases, is always complete and
 * valid, and eventually is the newest.
 *
 * The service publishes revisions 1..REVISIONS. Each but the last may be invalid,
 * and its parts may become available after its manifest. While it is stale, the
 * service may return any revision published so far. A member has two threads: one
 * reads the service, the other receives the revisions in force at its peers. Both
 * fetch outside the lock and apply under it. A peer's offer may be delayed, so
 * that it is outdated when it arrives. A member may crash; its new incarnation
 * has no state and queries its peers before it puts a revision in force.
 *
 * Bounds: MEMBERS, REVISIONS, CRASHES, OLD_OFFERS.
 *
 * PARTIAL_REACH: member 1 never reaches the service and member 2 never receives
 * offers from peers; without it all members do both.
 *
 * Mutations, each of which must yield a counterexample:
 *   ACCEPT_LOWER       an offer isn't compared with the revision in force
 *   COMPARE_ONCE       it is compared before the fetch, not when it is applied
 *   APPLY_INCOMPLETE   it is applied before its parts are available
 *   APPLY_INVALID      it is applied although its validation fails
 *   NO_PEER_QUERY      a new incarnation doesn't query its peers
 *   NO_FALLBACK        a member without peers doesn't read the service
 *   NO_PEER_OFFERS     members receive no offers from peers
 */
#ifndef MEMBERS
#define MEMBERS 2
#endif
#ifndef REVISIONS
#define REVISIONS 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef OLD_OFFERS
#define OLD_OFFERS 2
#endif

byte newest = 1;               /* newest revision that the service has published */
bool parts[REVISIONS + 1];     /* the revision's parts are available */
bool valid[REVISIONS + 1];     /* the revision passes validation */
bool stale = true;             /* the service may return an earlier revision */

byte inForce[MEMBERS];         /* revision in force; 0 means none */
byte incarnation[MEMBERS];
bool queriedPeers[MEMBERS];    /* the incarnation has queried its peers */
byte floor[MEMBERS];           /* highest revision in force at a peer when the
                                  incarnation started */
byte crashesLeft = CRASHES;
byte oldOffersLeft = OLD_OFFERS;

/* apply puts revision r in force at member m, if it is higher than the one in
   force and m has not restarted since the calling thread received r in
   ownIncarnation. */
inline apply(m, r) {
	atomic {
		if
#if defined(ACCEPT_LOWER) || defined(COMPARE_ONCE)
		:: incarnation[m] == ownIncarnation && r != inForce[m] ->
#else
		:: incarnation[m] == ownIncarnation && r > inForce[m] ->
#endif
			assert(r > inForce[m]);          /* never decreases */
			assert(parts[r]);                /* complete */
			assert(valid[r]);
			assert(inForce[m] != 0 || r >= floor[m]); /* nor across a restart */
			inForce[m] = r
		:: else
		fi
	}
}

/* checkOffer drops the offer of revision r, by setting r to 0, unless r is higher
   than the revision in force, complete and valid. It runs in the same atomic
   step as the arrival of the offer; this is sound because it uses only r and the
   state at that time. */
inline checkOffer(m, r) {
#ifndef ACCEPT_LOWER
	if
	:: r <= inForce[m] -> r = 0
	:: else
	fi;
#endif
#ifndef APPLY_INCOMPLETE
	if
	:: r > 0 && !parts[r] -> r = 0         /* waits for parts; the loop tries again */
	:: else
	fi;
#endif
#ifndef APPLY_INVALID
	if
	:: r > 0 && !valid[r] -> r = 0         /* reported as invalid */
	:: else
	fi;
#endif
	skip
}

/* applyOffer applies the offer of revision r unless checkOffer has dropped it. */
inline applyOffer(m, r) {
	atomic {
		if
		:: r > 0 -> apply(m, r)
		:: else
		fi;
		r = 0; ownIncarnation = 0
	}
}

proctype Service() {
	byte r = 2;
	do
	:: r <= REVISIONS ->
		atomic {
			newest = r;
			if
			:: valid[r] = true
			:: r < REVISIONS -> valid[r] = false
			fi
		}
		parts[r] = true;               /* after the manifest */
		r++
	:: else -> break
	od;
	stale = false
}

/* ServiceThread reads the service. */
proctype ServiceThread(byte m) {
	byte r, ownIncarnation;
	do
	:: atomic {
		queriedPeers[m] -> ownIncarnation = incarnation[m]; r = newest;
		do
		:: stale && r > 1 -> r--
		:: break
		od;
		checkOffer(m, r)
	   }
	   applyOffer(m, r)
	od
}

/* PeerThread receives the revisions in force at the peers, in turn. */
proctype PeerThread(byte m) {
	byte r, ownIncarnation, p;
	do
	:: atomic {
		queriedPeers[m] -> ownIncarnation = incarnation[m];
		p = (p + 1) % MEMBERS;
		if
		:: p == m -> p = (p + 1) % MEMBERS
		:: else
		fi;
		r = inForce[p];
		if
		:: oldOffersLeft > 0 && r > 1 -> oldOffersLeft--; r--   /* delayed offer */
		:: true
		fi;
		checkOffer(m, r)
	   }
	   applyOffer(m, r)
	od
}

/* Restarter crashes and restarts members. */
proctype Restarter() {
	byte m, p, highest, ownIncarnation;
	do
	:: crashesLeft > 0 ->
		atomic {
			crashesLeft--;
			select (m : 0 .. MEMBERS - 1);
#ifdef PARTIAL_REACH
			m = 0;
#endif
			inForce[m] = 0; incarnation[m]++; queriedPeers[m] = false; ownIncarnation = incarnation[m];
			highest = 0; p = 0;
			do
			:: p < MEMBERS && p != m && inForce[p] > highest -> highest = inForce[p]; p++
			:: p < MEMBERS && !(p != m && inForce[p] > highest) -> p++
			:: p >= MEMBERS -> break
			od;
			floor[m] = highest; highest = 0; p = 0
		}
#ifndef NO_PEER_QUERY
		do
		:: p < MEMBERS ->
			atomic {
				if
				:: p != m && inForce[p] > highest -> highest = inForce[p]
				:: else
				fi;
				p++
			}
		:: else -> break
		od;
		if
		:: highest > 0 -> apply(m, highest)
		:: else
		fi;
#endif
		atomic { queriedPeers[m] = true; highest = 0; p = 0 }
	:: crashesLeft > 0 -> break
	:: crashesLeft == 0 -> break
	od
}

init {
	byte m;
	atomic {
		parts[1] = true; valid[1] = true;
		m = 0;
		do
		:: m < MEMBERS ->
			queriedPeers[m] = true; inForce[m] = 1;
#if !defined(PARTIAL_REACH)
			run ServiceThread(m);
			run PeerThread(m);
#else
			if
			:: m != 1 ->
#ifdef NO_FALLBACK
				if
				:: m == 0 -> run ServiceThread(m)
				:: else
				fi
#else
				run ServiceThread(m)
#endif
			:: else
			fi;
#ifndef NO_PEER_OFFERS
			if
			:: m != 2 -> run PeerThread(m)
			:: else
			fi;
#endif
#endif
			m++
		:: else -> break
		od;
		run Service();
		run Restarter()
	}
}

#define ALL(r) (inForce[0] == r && inForce[1] == r && inForce[MEMBERS - 1] == r)

ltl newestEventuallyInForce { <> [] ALL(REVISIONS) }
