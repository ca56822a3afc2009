/*
 * Configuration read from a registry that may be restored from an older copy: the
 * version in force at a VM never decreases, and eventually is the newest.
 *
 * The operator publishes versions 1..VERSIONS. Each write gets the next revision
 * number. A restore takes the registry back to a copy, with its number and version,
 * and begins a new era; the operator then writes the newest version again, or
 * publishes the next one. A VM reads the registry; the response may arrive after
 * later ones of another connection. VMs also offer their versions to each other.
 *
 * Bounds: VMS, VERSIONS, RESTORES.
 *
 * Mutations, each of which must yield a counterexample:
 *   IGNORE_ERA         revisions are ordered by number alone, across eras
 *   ORDER_BY_REVISION  a higher revision replaces a higher version
 */
#ifndef VMS
#define VMS 2
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTORES
#define RESTORES 1
#endif

/* State of the registry. */
byte era = 1, number = 1, version = 1;
byte copyNumber = 1, copyVersion = 1;
byte published = 1;                  /* newest version that the operator wants */
bool settled = false;                /* the operator makes no more changes */

/* State of each VM. */
byte inForce[VMS];
byte seenEra[VMS];
byte seenNumber[VMS];

inline apply(m, e, n, v) {
	if
#ifdef IGNORE_ERA
	:: n > seenNumber[m] ->
		seenNumber[m] = n; seenEra[m] = e;
		if
		:: v > inForce[m] -> inForce[m] = v
		:: else
		fi
#else
	:: e > seenEra[m] || e == seenEra[m] && n > seenNumber[m] ->
		seenNumber[m] = n; seenEra[m] = e;
#ifdef ORDER_BY_REVISION
		assert(v >= inForce[m]);
		inForce[m] = v
#else
		if
		:: v > inForce[m] -> inForce[m] = v
		:: else
		fi
#endif
#endif
	:: else
	fi
}

proctype Operator() {
	byte restores = RESTORES;
	do
	:: published < VERSIONS ->
		atomic { published++; number++; version = published }
	:: atomic { restores > 0 -> copyNumber = number; copyVersion = version }
	:: restores > 0 ->
		atomic { restores--; era++; number = copyNumber; version = copyVersion }
		if
		:: published < VERSIONS         /* the next version replaces the lost one */
		:: atomic { number++; version = published }
		fi
	:: published == VERSIONS && version == VERSIONS -> break
	od;
	settled = true
}

/* Reader reads the registry. In one step it gets a response, in another one it
   applies it. */
proctype Reader(byte m) {
	byte e, n, v;
	do
	:: atomic {
		e = era; n = number; v = version }
	   atomic { apply(m, e, n, v); e = 0; n = 0; v = 0 }
	od
}

/* Fetcher fetches the configurations that the other VMs offer. */
proctype Fetcher(byte m) {
	byte p = (m + 1) % VMS;
	do
	:: atomic {
		inForce[p] > inForce[m] ->
		if
		:: inForce[p] > inForce[m] -> inForce[m] = inForce[p]
		:: else
		fi
	   }
	od
}

init {
	byte m;
	atomic {
		do
		:: m < VMS ->
			run Reader(m);
			run Fetcher(m);
			m++
		:: else -> break
		od;
		run Operator()
	}
}

ltl newestEventuallyInForce { [] (settled -> <> [] (inForce[0] == VERSIONS && inForce[VMS - 1] == VERSIONS)) }
