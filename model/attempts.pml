/*
 * A call without a key that must run at most once, sent by one router to two sides.
 *
 * The router submits an attempt, may lose the link at any moment, and then queries over a new link whether the attempt
 * has started. The submission may still be in transit on the old link and arrive after the query. Sides can crash;
 * submissions in transit to a crashed side are lost, and the router sees a new incarnation. After the first attempt is
 * withdrawn, a second one may be submitted to the other side.
 *
 * Variants that must fail: -DBROKEN_QUERY (the query does not withdraw the attempt), -DBROKEN_INCARNATION (the answer of
 * a new incarnation is accepted for the old one), -DBROKEN_UNSURE (a missing answer is taken for "not run").
 */
#define CRASHES 2
#define UNKNOWN 1
#define NOT_RUN 2
#define DONE 3

mtype = { absent, in_transit, waiting, started, finished, withdrawn };

mtype attempt[2] = absent;   /* the state of attempt k, which is submitted to side k */
byte incarnation[2];
byte submittedTo[2];
byte crashes = CRASHES;
byte runs;
byte outcome;

#ifdef BROKEN_QUERY
#define WITHDRAW(k) skip
#else
#define WITHDRAW(k) attempt[k] = withdrawn
#endif
#ifdef BROKEN_INCARNATION
#define SAME_INCARNATION(k) true
#else
#define SAME_INCARNATION(k) (incarnation[k] == submittedTo[k])
#endif

proctype Side(byte k) {
	do
	:: atomic { attempt[k] == in_transit -> attempt[k] = waiting }
	:: atomic { attempt[k] == waiting -> attempt[k] = started; runs++; assert(runs <= 1); assert(outcome != NOT_RUN) }
	:: atomic { attempt[k] == started -> attempt[k] = finished }
	:: atomic { crashes > 0 -> crashes--; incarnation[k]++; attempt[k] = absent }
	:: outcome != 0 && attempt[k] != in_transit && attempt[k] != waiting && attempt[k] != started -> break
	od
}

proctype Router() {
	byte k = 0;
	bool decided = false;
	do
	:: decided -> break
	:: else ->
		atomic { attempt[k] = in_transit; submittedTo[k] = incarnation[k] };
		if
		/* The complete answer arrives. */
		:: atomic { attempt[k] == finished -> outcome = DONE; decided = true }
		/* The side refuses, which also withdraws the attempt. */
		:: atomic { attempt[k] == waiting -> attempt[k] = withdrawn; goto refused }
		/* The link is lost. */
		:: true -> goto lost
		fi;
		goto next;
lost:
		if
		:: atomic { SAME_INCARNATION(k) && (attempt[k] == started || attempt[k] == finished) -> outcome = UNKNOWN; decided = true }
		:: atomic { SAME_INCARNATION(k) && attempt[k] != started && attempt[k] != finished -> WITHDRAW(k) };
			goto refused
		/* No answer arrives, or one of another incarnation. */
#ifdef BROKEN_UNSURE
		:: true -> goto refused
#else
		:: true -> outcome = UNKNOWN; decided = true
#endif
		fi;
		goto next;
refused:
		if
		:: k == 0 -> k = 1
		:: true -> atomic { assert(runs == 0); outcome = NOT_RUN; decided = true }
		fi;
next:
		skip
	od;
	assert(outcome != 0)
}

init {
	atomic {
		run Side(0);
		run Side(1);
		run Router()
	}
}
