/*
 * Configuration: never back, whole and valid only, and in force at last.
 *
 * The service publishes revisions 1..REVISIONS. Each may be invalid, and its
 * parts may come after its manifest. While it is stale the service answers
 * with any revision that it ever had. A member has two threads: one reads the
 * service, the other takes what peers have in force. Both fetch outside the
 * lock and apply under it. A peer's offer may be delayed, so that it is old
 * when it arrives. A member may crash; its new incarnation remembers nothing
 * and asks the peers before it puts anything in force.
 *
 * Bounds: MEMBERS, REVISIONS, CRASHES, OLD_OFFERS.
 *
 * PARTIAL_REACH: member 1 never reaches the service and member 2 never hears
 * a peer; otherwise all members do both.
 *
 * Mutations, each of which must give a trace:
 *   ACCEPT_LOWER       an offer isn't compared with the revision in force
 *   COMPARE_ONCE       it is compared before the fetch, not when it is applied
 *   APPLY_TORN         it is applied before its parts are there
 *   APPLY_INVALID      it is applied although the check fails
 *   NO_ASK             a new incarnation doesn't ask its peers
 *   NO_FALLBACK        a member that hears nobody doesn't read the service
 *   NO_LEARN           nothing is taken from peers
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

byte newest = 1;               /* of the service */
bool parts[REVISIONS + 1];     /* whether a revision's parts are there */
bool valid[REVISIONS + 1];
bool stale = true;

byte inForce[MEMBERS];
byte epoch[MEMBERS];           /* incarnation */
bool asked[MEMBERS];           /* the incarnation has asked its peers */
byte floor[MEMBERS];           /* highest of the peers when it started */
byte crashes = CRASHES;
byte oldOffers = OLD_OFFERS;

/* apply puts revision r in force at member m. */
inline apply(m, r) {
	atomic {
		if
#if defined(ACCEPT_LOWER) || defined(COMPARE_ONCE)
		:: epoch[m] == mine && r != inForce[m] ->
#else
		:: epoch[m] == mine && r > inForce[m] ->
#endif
			assert(r > inForce[m]);          /* never back */
			assert(parts[r]);                /* whole */
			assert(valid[r]);
			assert(inForce[m] != 0 || r >= floor[m]); /* nor across a restart */
			inForce[m] = r
		:: else
		fi
	}
}

/* look drops the offer of revision r unless it passes the comparison, its
   parts are there and the check succeeds. It is one step with the arrival of
   the offer: nothing but r and the state of that moment is used. */
inline look(m, r) {
#ifndef ACCEPT_LOWER
	if
	:: r <= inForce[m] -> r = 0
	:: else
	fi;
#endif
#ifndef APPLY_TORN
	if
	:: r > 0 && !parts[r] -> r = 0         /* waits; the loop tries again */
	:: else
	fi;
#endif
#ifndef APPLY_INVALID
	if
	:: r > 0 && !valid[r] -> r = 0         /* is reported */
	:: else
	fi;
#endif
	skip
}

/* settle applies what look has let through. */
inline settle(m, r) {
	atomic {
		if
		:: r > 0 -> apply(m, r)
		:: else
		fi;
		r = 0; mine = 0
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
		parts[r] = true;               /* the parts come later */
		r++
	:: else -> break
	od;
	stale = false
}

/* ServiceThread reads the service. */
proctype ServiceThread(byte m) {
	byte r, mine;
	do
	:: atomic {
		asked[m] -> mine = epoch[m]; r = newest;
		do
		:: stale && r > 1 -> r--
		:: break
		od;
		look(m, r)
	   }
	   settle(m, r)
	od
}

/* PeerThread takes what peers have in force, one after the other. */
proctype PeerThread(byte m) {
	byte r, mine, p;
	do
	:: atomic {
		asked[m] -> mine = epoch[m];
		p = (p + 1) % MEMBERS;
		if
		:: p == m -> p = (p + 1) % MEMBERS
		:: else
		fi;
		r = inForce[p];
		if
		:: oldOffers > 0 && r > 1 -> oldOffers--; r--   /* delayed */
		:: true
		fi;
		look(m, r)
	   }
	   settle(m, r)
	od
}

/* Restarter crashes members and starts them again. */
proctype Restarter() {
	byte m, p, best, mine;
	do
	:: crashes > 0 ->
		atomic {
			crashes--;
			select (m : 0 .. MEMBERS - 1);
#ifdef PARTIAL_REACH
			m = 0;
#endif
			inForce[m] = 0; epoch[m]++; asked[m] = false; mine = epoch[m];
			best = 0; p = 0;
			do
			:: p < MEMBERS && p != m && inForce[p] > best -> best = inForce[p]; p++
			:: p < MEMBERS && !(p != m && inForce[p] > best) -> p++
			:: p >= MEMBERS -> break
			od;
			floor[m] = best; best = 0; p = 0
		}
#ifndef NO_ASK
		do
		:: p < MEMBERS ->
			atomic {
				if
				:: p != m && inForce[p] > best -> best = inForce[p]
				:: else
				fi;
				p++
			}
		:: else -> break
		od;
		if
		:: best > 0 -> apply(m, best)
		:: else
		fi;
#endif
		atomic { asked[m] = true; best = 0; p = 0 }
	:: crashes > 0 -> break
	:: crashes == 0 -> break
	od
}

init {
	byte m;
	atomic {
		parts[1] = true; valid[1] = true;
		m = 0;
		do
		:: m < MEMBERS ->
			asked[m] = true; inForce[m] = 1;
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
#ifndef NO_LEARN
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

ltl inForceAtLast { <> [] ALL(REVISIONS) }
