/*
 * One idempotency key that must run at most once, on two sides.
 *
 * Side 0 is the key's home under version 1 of the declarations, side 1 under version 2. Sides crash and restart
 * with empty memory, restart with an old version, stop politely and leave their records with the other side.
 * Messages are lost, doubled and delayed without bound. Submissions reach either side at any time, since routers
 * differ in their views. "young" stands for an age below a key's lifetime: while the key is live a restarted side
 * stays young.
 *
 * Variants that must fail: -DBROKEN_YOUNG (a restarted side vouches), -DBROKEN_MOVE (a new home vouches without
 * the old one's word), -DBROKEN_BEHIND (a side vouches though it has heard of a newer version).
 */
#ifndef CRASHES
#define CRASHES 2
#endif
#define STOPS 2
#define SUBMISSIONS 4

#define HOME(v) ((v) - 1)
#define NONE 0
#define CLAIMED 1
#define STARTED 2
#define DONE 3
#define LOST 4

bool up[2];
bool young[2];
bool reclaimed[2];
byte version[2];
byte rec[2];
byte need[2];          /* version at which the other side must have let go */
byte released[2];      /* version at which the other side is known to have let go, vouching for its keys */
byte heard[2];         /* newest version heard of in a handover */

/* One handover on its way to each side; it can be taken any number of times, or never. */
byte msgVersion[2];
bool msgCovered[2];
byte msgRec[2];

/* An estate on its way back to each side. */
bool backOnWay[2];
bool backCovered[2];
byte backRec[2];

/* The estate of side i, kept by the other side. */
bool estate[2];
bool estateCovered[2];
byte estateRec[2];

byte runs;
byte crashes = CRASHES;
byte stops = STOPS;
byte submissions = SUBMISSIONS;

#define OLD(i) (!young[i] || reclaimed[i])
#define COVERED(i) (OLD(i) && released[i] >= need[i])

#ifdef BROKEN_YOUNG
#define AGE_OK(i) true
#else
#define AGE_OK(i) OLD(i)
#endif
#ifdef BROKEN_MOVE
#define WORD_OK(i) true
#else
#define WORD_OK(i) (released[i] >= need[i])
#endif
#ifdef BROKEN_BEHIND
#define CURRENT(i) true
#else
#define CURRENT(i) (version[i] >= heard[i])
#endif

#define VOUCH(i) (HOME(version[i]) == i && AGE_OK(i) && WORD_OK(i) && CURRENT(i))

inline adopt(i, r) {
	if
	:: rec[i] == NONE && r == CLAIMED -> rec[i] = LOST
	:: rec[i] == NONE && r == STARTED -> rec[i] = LOST
	:: (rec[i] == NONE || rec[i] == LOST) && r == DONE -> rec[i] = DONE
	:: rec[i] == NONE && r == LOST -> rec[i] = LOST
	:: else -> skip
	fi
}

inline forget(i) {
	rec[i] = NONE;
	released[i] = 0;
	heard[i] = 0;
	reclaimed[i] = false;
	young[i] = true;
	up[i] = false;
	estate[1 - i] = false;      /* what it kept for the other side dies with it */
	msgVersion[i] = 0;          /* its connections die with it */
	backOnWay[i] = false;
	backRec[i] = NONE
}

proctype Side(byte i) {
	byte other = 1 - i;
	do
	/* A submission arrives. */
	:: atomic { submissions > 0 && up[i] -> submissions--;
		if
		:: rec[i] != NONE -> skip          /* answered from the record, or waits for the one run */
		:: rec[i] == NONE && VOUCH(i) -> rec[i] = CLAIMED
		:: rec[i] == NONE && VOUCH(i) -> assert(runs == 0)   /* refused: the caller hears not_run */
		:: rec[i] == NONE && !VOUCH(i) -> skip               /* refused: the caller hears unknown */
		fi }
	/* The last check before the hand-over, or the job ends before it. */
	:: atomic { up[i] && rec[i] == CLAIMED && HOME(version[i]) == i -> rec[i] = STARTED; runs++; assert(runs <= 1) }
	:: atomic { up[i] && rec[i] == CLAIMED -> assert(runs == 0); rec[i] = NONE }
	:: atomic { up[i] && rec[i] == STARTED -> rec[i] = DONE }
	:: atomic { up[i] && rec[i] == STARTED -> rec[i] = LOST }
	/* The second version is accepted. */
	:: atomic { up[i] && version[i] == 1 -> version[i] = 2; need[i] = 2 }
	/* The other side answers a claim of this one; an earlier answer is superseded or still under way. */
	:: atomic { up[i] && up[other] && version[other] >= version[i] && rec[other] != CLAIMED && rec[other] != STARTED ->
		msgVersion[i] = version[other];
		msgCovered[i] = COVERED(other);
		msgRec[i] = (HOME(version[other]) == i -> rec[other] : NONE) }
	:: atomic { up[i] && msgVersion[i] > 0 ->
		if
		:: msgCovered[i] && msgVersion[i] > released[i] -> released[i] = msgVersion[i]
		:: else -> skip
		fi;
		if
		:: msgVersion[i] > heard[i] -> heard[i] = msgVersion[i]
		:: else -> skip
		fi;
		adopt(i, msgRec[i]) }
	/* The kept estate is given back once, and may be lost. */
	:: atomic { up[i] && up[other] && young[i] && estate[i] -> estate[i] = false;
		backOnWay[i] = true; backCovered[i] = estateCovered[i]; backRec[i] = estateRec[i] }
	:: atomic { up[i] && backOnWay[i] -> backOnWay[i] = false; adopt(i, backRec[i]);
		if
		:: backCovered[i] -> reclaimed[i] = true
		:: else -> skip
		fi }
	/* Crash, polite stop with an estate, polite stop that reaches nobody. */
	:: atomic { up[i] && crashes > 0 -> crashes--; forget(i) }
	:: atomic { up[i] && stops > 0 && rec[i] != CLAIMED && rec[i] != STARTED && up[other] -> stops--;
		estate[i] = true; estateCovered[i] = COVERED(i); estateRec[i] = rec[i]; forget(i) }
	/* A new incarnation begins with either version, since the configuration service may answer with an old one. */
	:: atomic { !up[i] -> up[i] = true; version[i] = 1; need[i] = 1 }
	:: atomic { !up[i] -> up[i] = true; version[i] = 2; need[i] = 2 }
	:: submissions == 0 -> break
	od
}

init {
	atomic {
		up[0] = true; up[1] = true;
		version[0] = 1; version[1] = 1;
		run Side(0);
		run Side(1)
	}
}
