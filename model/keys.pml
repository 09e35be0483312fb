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
#define CRASHES 1
#endif
#define STOPS 2
#define SUBMISSIONS 3

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
bool need1[2], need2[2];   /* the other side's word about version 1 or 2 is needed */
bool word1[2], word2[2];   /* the word is here, and the other side could vouch */
byte heard[2];             /* newest version heard of in a handover */

/* One handover on its way to each side; it can be taken any number of times, or never. */
byte msgEnded[2];
byte msgVersion[2];
bool msgCovered[2];
byte msgRec[2];

/* A handover on its way back to each side. */
bool backOnWay[2];
bool backCovered[2];
byte backRec[2];

/* The handover of side i, kept by the other side. */
bool handover[2];
bool handoverCovered[2];
byte handoverRec[2];

byte runs;
byte crashes = CRASHES;
byte stops = STOPS;
byte submissions = SUBMISSIONS;

#define OLD(i) (!young[i] || reclaimed[i])
#define EPOCH1(i) (!need1[i] || word1[i])
#define EPOCH2(i) (!need2[i] || word2[i])

#ifdef BROKEN_YOUNG
#define AGE_OK(i) true
#else
#define AGE_OK(i) OLD(i)
#endif
#ifdef BROKEN_MOVE
#define WORD_OK(i) true
#else
#define WORD_OK(i) (EPOCH1(i) && EPOCH2(i))
#endif
#ifdef BROKEN_BEHIND
#define CURRENT(i) true
#else
#define CURRENT(i) (version[i] >= heard[i])
#endif

#define VOUCH(i) (HOME(version[i]) == i && AGE_OK(i) && WORD_OK(i) && CURRENT(i))

inline adopt(i, r) {
	if
	:: rec[i] == NONE && (r == CLAIMED || r == STARTED || r == LOST) -> rec[i] = LOST
	:: (rec[i] == NONE || rec[i] == LOST) && r == DONE -> rec[i] = DONE
	:: else -> skip
	fi
}

inline forget(i) {
	rec[i] = NONE;
	need1[i] = false; need2[i] = false;
	word1[i] = false; word2[i] = false;
	heard[i] = 0;
	reclaimed[i] = false;
	young[i] = true;
	up[i] = false;
	handover[1 - i] = false;      /* what it kept for the other side dies with it */
	handoverCovered[1 - i] = false; handoverRec[1 - i] = NONE;
	msgEnded[i] = 0; msgVersion[i] = 0; msgCovered[i] = false; msgRec[i] = NONE;
	backOnWay[i] = false; backCovered[i] = false; backRec[i] = NONE
}

#define IDLE(i) (rec[i] != CLAIMED && rec[i] != STARTED)

proctype Side(byte i) {
	byte other = 1 - i;
	do
	/* A submission arrives. */
	:: atomic { submissions > 0 && up[i] -> submissions--;
		if
		:: rec[i] != NONE -> skip                            /* the record answers, or the one run is waited for */
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
	:: atomic { up[i] && version[i] == 1 -> version[i] = 2; need2[i] = true }
	/* The other side answers a claim of this one; the answer takes the place of an earlier one. */
	:: atomic { up[i] && up[other] && need1[i] && !word1[i] && IDLE(other) ->
		msgEnded[i] = 1; msgVersion[i] = version[other]; msgCovered[i] = OLD(other);
		msgRec[i] = (HOME(version[other]) == i -> rec[other] : NONE) }
	:: atomic { up[i] && up[other] && need2[i] && !word2[i] && version[other] == 2 && IDLE(other) ->
		msgEnded[i] = 2; msgVersion[i] = 2; msgCovered[i] = (OLD(other) && EPOCH1(other));
		msgRec[i] = (HOME(2) == i -> rec[other] : NONE) }
	:: atomic { up[i] && msgEnded[i] > 0 ->
		if
		:: msgCovered[i] && msgEnded[i] == 1 -> word1[i] = true
		:: msgCovered[i] && msgEnded[i] == 2 -> word2[i] = true
		:: !msgCovered[i] -> skip
		fi;
		if
		:: msgVersion[i] > heard[i] -> heard[i] = msgVersion[i]
		:: else -> skip
		fi;
		adopt(i, msgRec[i]) }
	/* The kept handover is given back once, and may be lost. */
	:: atomic { up[i] && up[other] && young[i] && handover[i] ->
		backOnWay[i] = true; backCovered[i] = handoverCovered[i]; backRec[i] = handoverRec[i];
		handover[i] = false; handoverCovered[i] = false; handoverRec[i] = NONE }
	:: atomic { up[i] && backOnWay[i] -> adopt(i, backRec[i]);
		if
		:: backCovered[i] -> reclaimed[i] = true
		:: else -> skip
		fi;
		backOnWay[i] = false; backCovered[i] = false; backRec[i] = NONE }
	/* Crash, and polite stop with an handover. */
	:: atomic { up[i] && crashes > 0 -> crashes--; forget(i) }
	:: atomic { up[i] && stops > 0 && IDLE(i) && up[other] -> stops--;
		handover[i] = true; handoverCovered[i] = (OLD(i) && EPOCH1(i) && EPOCH2(i)); handoverRec[i] = rec[i]; forget(i) }
	/* A new incarnation begins with either version, since the configuration service may answer with an old one. */
	:: atomic { !up[i] -> up[i] = true; version[i] = 1; need1[i] = true }
	:: atomic { !up[i] -> up[i] = true; version[i] = 2; need2[i] = true }
	:: submissions == 0 && IDLE(i) -> break
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
