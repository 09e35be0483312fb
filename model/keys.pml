/*
 * An idempotency key that must run at most once, with two sides.
 *
 * Side 0 is the key's primary under version 1 of the declarations, side 1 under version 2. Sides can crash and restart
 * with empty memory, restart with an old version, or stop gracefully and leave their records with the other side.
 * Messages are lost, duplicated and delayed without bound. Submissions can reach either side at any time, since routers
 * have different views. "young" means an uptime below a key's lifetime: while the key is live, a restarted side stays
 * young. A side confirms the key when it can rule out an earlier run.
 *
 * Variants that must fail: -DBROKEN_YOUNG (a restarted side confirms the key), -DBROKEN_MOVE (a new primary confirms it
 * without the previous primary's release acknowledgement), -DBROKEN_BEHIND (a side confirms it although it has received
 * a newer version in a handover).
 */
#ifndef CRASHES
#define CRASHES 1
#endif
#define STOPS 2
#define SUBMISSIONS 3

#define PRIMARY(v) ((v) - 1)
#define NONE 0
#define CLAIMED 1
#define STARTED 2
#define DONE 3
#define LOST 4

bool up[2];
bool young[2];
bool recovered[2];
byte version[2];
byte record[2];
bool ackNeeded1[2], ackNeeded2[2];  /* the other side's release acknowledgement for version 1 or 2 is needed */
bool ack1[2], ack2[2];              /* it has been received, and the other side could confirm the key */
byte newestVersion[2];              /* newest version received in a handover */

/* A handover in transit to each side; it can be received any number of times, or never. */
byte msgEnded[2];
byte msgVersion[2];
bool msgCovered[2];
byte msgRecord[2];

/* A kept handover in transit back to each side. */
bool backInTransit[2];
bool backCovered[2];
byte backRecord[2];

/* The handover of side i, kept by the other side. */
bool handover[2];
bool handoverCovered[2];
byte handoverRecord[2];

byte runs;
byte crashes = CRASHES;
byte stops = STOPS;
byte submissions = SUBMISSIONS;

#define HISTORY_COMPLETE(i) (!young[i] || recovered[i])
#define RESOLVED1(i) (!ackNeeded1[i] || ack1[i])
#define RESOLVED2(i) (!ackNeeded2[i] || ack2[i])

#ifdef BROKEN_YOUNG
#define AGE_OK(i) true
#else
#define AGE_OK(i) HISTORY_COMPLETE(i)
#endif
#ifdef BROKEN_MOVE
#define ACKS_OK(i) true
#else
#define ACKS_OK(i) (RESOLVED1(i) && RESOLVED2(i))
#endif
#ifdef BROKEN_BEHIND
#define CURRENT(i) true
#else
#define CURRENT(i) (version[i] >= newestVersion[i])
#endif

#define CONFIRM(i) (PRIMARY(version[i]) == i && AGE_OK(i) && ACKS_OK(i) && CURRENT(i))

inline importRecord(i, r) {
	if
	:: record[i] == NONE && (r == CLAIMED || r == STARTED || r == LOST) -> record[i] = LOST
	:: (record[i] == NONE || record[i] == LOST) && r == DONE -> record[i] = DONE
	:: else -> skip
	fi
}

inline loseMemory(i) {
	record[i] = NONE;
	ackNeeded1[i] = false; ackNeeded2[i] = false;
	ack1[i] = false; ack2[i] = false;
	newestVersion[i] = 0;
	recovered[i] = false;
	young[i] = true;
	up[i] = false;
	handover[1 - i] = false;      /* the handover kept for the other side is lost as well */
	handoverCovered[1 - i] = false; handoverRecord[1 - i] = NONE;
	msgEnded[i] = 0; msgVersion[i] = 0; msgCovered[i] = false; msgRecord[i] = NONE;
	backInTransit[i] = false; backCovered[i] = false; backRecord[i] = NONE
}

#define IDLE(i) (record[i] != CLAIMED && record[i] != STARTED)

proctype Side(byte i) {
	byte other = 1 - i;
	do
	/* A submission arrives. */
	:: atomic { submissions > 0 && up[i] -> submissions--;
		if
		:: record[i] != NONE -> skip                              /* answered from the record, or after the run */
		:: record[i] == NONE && CONFIRM(i) -> record[i] = CLAIMED
		:: record[i] == NONE && CONFIRM(i) -> assert(runs == 0)   /* refused: the caller receives not_run */
		:: record[i] == NONE && !CONFIRM(i) -> skip               /* refused: the caller receives unknown */
		fi }
	/* The last check before the job is sent to the upstream, or the job ends before it. */
	:: atomic { up[i] && record[i] == CLAIMED && PRIMARY(version[i]) == i -> record[i] = STARTED; runs++; assert(runs <= 1) }
	:: atomic { up[i] && record[i] == CLAIMED -> assert(runs == 0); record[i] = NONE }
	:: atomic { up[i] && record[i] == STARTED -> record[i] = DONE }
	:: atomic { up[i] && record[i] == STARTED -> record[i] = LOST }
	/* The second version is accepted. */
	:: atomic { up[i] && version[i] == 1 -> version[i] = 2; ackNeeded2[i] = true }
	/* The other side answers a claim of this one; the answer replaces an earlier one. */
	:: atomic { up[i] && up[other] && ackNeeded1[i] && !ack1[i] && IDLE(other) ->
		msgEnded[i] = 1; msgVersion[i] = version[other]; msgCovered[i] = HISTORY_COMPLETE(other);
		msgRecord[i] = (PRIMARY(version[other]) == i -> record[other] : NONE) }
	:: atomic { up[i] && up[other] && ackNeeded2[i] && !ack2[i] && version[other] == 2 && IDLE(other) ->
		msgEnded[i] = 2; msgVersion[i] = 2; msgCovered[i] = (HISTORY_COMPLETE(other) && RESOLVED1(other));
		msgRecord[i] = (PRIMARY(2) == i -> record[other] : NONE) }
	:: atomic { up[i] && msgEnded[i] > 0 ->
		if
		:: msgCovered[i] && msgEnded[i] == 1 -> ack1[i] = true
		:: msgCovered[i] && msgEnded[i] == 2 -> ack2[i] = true
		:: !msgCovered[i] -> skip
		fi;
		if
		:: msgVersion[i] > newestVersion[i] -> newestVersion[i] = msgVersion[i]
		:: else -> skip
		fi;
		importRecord(i, msgRecord[i]) }
	/* The kept handover is returned once, and may be lost. */
	:: atomic { up[i] && up[other] && young[i] && handover[i] ->
		backInTransit[i] = true; backCovered[i] = handoverCovered[i]; backRecord[i] = handoverRecord[i];
		handover[i] = false; handoverCovered[i] = false; handoverRecord[i] = NONE }
	:: atomic { up[i] && backInTransit[i] -> importRecord(i, backRecord[i]);
		if
		:: backCovered[i] -> recovered[i] = true
		:: else -> skip
		fi;
		backInTransit[i] = false; backCovered[i] = false; backRecord[i] = NONE }
	/* Crash, and graceful stop with a handover. */
	:: atomic { up[i] && crashes > 0 -> crashes--; loseMemory(i) }
	:: atomic { up[i] && stops > 0 && IDLE(i) && up[other] -> stops--;
		handover[i] = true; handoverCovered[i] = (HISTORY_COMPLETE(i) && RESOLVED1(i) && RESOLVED2(i));
		handoverRecord[i] = record[i]; loseMemory(i) }
	/* A new incarnation starts with either version, since the configuration service may return an old one. */
	:: atomic { !up[i] -> up[i] = true; version[i] = 1; ackNeeded1[i] = true }
	:: atomic { !up[i] -> up[i] = true; version[i] = 2; ackNeeded2[i] = true }
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
