/*
 * At-most-once dispatch of one order by two entry hosts and the ledger.
 *
 * A host reserves the order under its incarnation and an attempt number and dispatches it to a
 * backend server at most once while it holds the reservation. It then records the outcome, or
 * releases the reservation if it can prove that it sent nothing. A host may crash at any step
 * and restart with the next incarnation, and it may stop waiting for an answer. The caller
 * retries the order at either host while hosts have attempts left. Commands to the ledger are
 * lost, delayed, duplicated and reordered. The reservation's deadline may pass at any time
 * after it was made, and the record's retention may end at any time after that.
 *
 * Proved: the order is dispatched at most once; an attempt that answered "not run" to its
 * caller has not dispatched and never does; after a caller was told that the order is done or
 * its outcome unknown, no host is granted the reservation any more.
 *
 * Left out: other orders (records share nothing but their bounds), the request digest, the
 * content of answers, the replicated log (a command is applied at once and in one place; the
 * consensus core has its own model, quorum.pml), clocks (deadlines pass at any moment), the
 * difference between keys that carry a time and keys that leave a tombstone (both are the state
 * "dropped" here), more than two hosts, and backend servers (a dispatch is the first byte that
 * may have been sent).
 *
 * mutant: RELEASE_BY_HOST         a release is matched by host and incarnation but not by attempt
 * mutant: RELEASE_AFTER_SEND      a host releases after it may have sent a byte
 * mutant: EXPIRED_RUNS_AGAIN      a reservation past its deadline is granted to the next Reserve
 * mutant: DROPPED_RUNS_AGAIN      a key whose record was removed counts as new
 * mutant: REPEATED_RESERVE_WINS   a second Reserve of the same host is granted too
 */

#define HOSTS       2
#define ATTEMPTS    2   /* attempts of one host over all its incarnations */
#define COMMANDS    3   /* commands in flight */

mtype = { none, reserved, released, done, unknown, dropped };   /* states of the ledger's record */
mtype = { free, reserve, release, record };                     /* commands */
mtype = { idle, asking, holding, sent, refused };               /* phases of an attempt at its host */

/* The ledger. */
mtype state = none;
byte holder, holderAttempt;
byte holderIncarnation;
bool expired;

/* Commands in flight, in no order. */
mtype kind[COMMANDS] = free;
byte from[COMMANDS], attemptOf[COMMANDS], incarnationOf[COMMANDS];

/* The hosts. */
byte attempt[HOSTS], incarnation[HOSTS];
mtype phase[HOSTS] = idle;
bool toldNotRun[HOSTS];  /* the caller of the current attempt was told "not run" */
byte dispatches;
bool toldOutcome;        /* some caller was told that the order is done or its outcome unknown */

inline put(k, h) {
	if
	:: kind[0] == free -> kind[0] = k; from[0] = h; attemptOf[0] = attempt[h]; incarnationOf[0] = incarnation[h]
	:: kind[0] != free && kind[1] == free -> kind[1] = k; from[1] = h; attemptOf[1] = attempt[h]; incarnationOf[1] = incarnation[h]
	:: kind[0] != free && kind[1] != free && kind[2] == free -> kind[2] = k; from[2] = h; attemptOf[2] = attempt[h]; incarnationOf[2] = incarnation[h]
	:: else -> skip  /* lost */
	fi
}

/* The reservation belongs to the attempt that sent command c. */
#ifdef RELEASE_BY_HOST
#define held(c) (holder == from[c] && holderIncarnation == incarnationOf[c])
#else
#define held(c) (holder == from[c] && holderIncarnation == incarnationOf[c] && holderAttempt == attemptOf[c])
#endif

/* The attempt that sent command c still waits for the answer. */
#define awaited(c) (phase[from[c]] == asking && attempt[from[c]] == attemptOf[c] && incarnation[from[c]] == incarnationOf[c])

inline hold(c) {
	assert(!toldOutcome);
	state = reserved; expired = false;
	holder = from[c]; holderAttempt = attemptOf[c]; holderIncarnation = incarnationOf[c];
}

/* Delivers the verdict to the attempt that sent command c, or loses the answer. */
inline answer(c, verdict) {
	if
	:: awaited(c) ->
		phase[from[c]] = verdict;
		toldOutcome = toldOutcome || state == done || state == unknown || (state == reserved && expired)
	:: true -> skip
	fi
}

inline applyReserve(c) {
	if
	:: state == none -> hold(c); answer(c, holding)
	:: state == released ->
		if
		:: holder == from[c] && holderIncarnation == incarnationOf[c] && attemptOf[c] <= holderAttempt -> answer(c, refused)
		:: else -> hold(c); answer(c, holding)
		fi
	:: state == reserved && !expired ->
		if
#ifdef REPEATED_RESERVE_WINS
		:: holder == from[c] -> answer(c, holding)
#else
		:: holder == from[c] && holderIncarnation == incarnationOf[c] && holderAttempt == attemptOf[c] -> answer(c, holding)
#endif
		:: else -> answer(c, refused)
		fi
	:: state == reserved && expired ->
#ifdef EXPIRED_RUNS_AGAIN
		hold(c); answer(c, holding)
#else
		answer(c, refused)
#endif
	:: state == dropped ->
#ifdef DROPPED_RUNS_AGAIN
		hold(c); answer(c, holding)
#else
		answer(c, refused)
#endif
	:: else -> answer(c, refused)
	fi
}

inline applyRelease(c) {
	if
	:: state == reserved && !expired && held(c) -> state = released
	:: else -> skip
	fi
}

inline applyRecord(c) {
	if
	:: (state == reserved || state == unknown) && held(c) ->
		if
		:: state = done
		:: state = unknown
		fi
	:: else -> skip
	fi
}

/* The network and the ledger: applies any command, and keeps it as a duplicate or drops it. */
active proctype Ledger() {
	byte c;
end:	do
	:: atomic {
		select(c : 0 .. 2);
		if
		:: kind[c] == reserve -> applyReserve(c)
		:: kind[c] == release -> applyRelease(c)
		:: kind[c] == record -> applyRecord(c)
		:: kind[c] == free -> skip
		fi;
		if
		:: kind[c] = free; from[c] = 0; attemptOf[c] = 0; incarnationOf[c] = 0
		:: kind[c] != free -> skip
		fi;
		c = 0
	}
	:: atomic { kind[0] != free -> kind[0] = free; from[0] = 0; attemptOf[0] = 0; incarnationOf[0] = 0 }
	:: atomic { kind[1] != free -> kind[1] = free; from[1] = 0; attemptOf[1] = 0; incarnationOf[1] = 0 }
	:: atomic { kind[2] != free -> kind[2] = free; from[2] = 0; attemptOf[2] = 0; incarnationOf[2] = 0 }
	:: atomic { state == reserved && !expired -> expired = true }
	:: atomic { (state == done || state == unknown || (state == reserved && expired)) -> state = dropped }
	od
}

active [HOSTS] proctype Host() {
	byte h = _pid - 1;
end:	do
	/* A caller sends the order to the host. */
	:: atomic { phase[h] == idle && attempt[h] < ATTEMPTS ->
		attempt[h]++; toldNotRun[h] = false;
		phase[h] = asking; put(reserve, h)
	}
	/* No answer to Reserve: the caller is told "not run", and the attempt is released. */
	:: atomic { phase[h] == asking -> toldNotRun[h] = true; put(release, h); phase[h] = idle }
	/* The release is resent while no other attempt has begun. */
	:: atomic { phase[h] == idle && toldNotRun[h] -> put(release, h) }
	:: atomic { phase[h] == refused -> toldNotRun[h] = false; phase[h] = idle }
	:: atomic { phase[h] == holding ->
		if
		:: dispatches++; phase[h] = sent;
		   assert(!toldNotRun[h]); assert(dispatches <= 1)
		:: toldNotRun[h] = true; put(release, h); phase[h] = idle
		fi
	}
	:: atomic { phase[h] == sent -> put(record, h); phase[h] = idle }
#ifdef RELEASE_AFTER_SEND
	:: atomic { phase[h] == sent -> put(release, h); phase[h] = idle }
#endif
	/* The host crashes and restarts with the next incarnation. */
	:: atomic { incarnation[h] < 1 ->
		incarnation[h]++; phase[h] = idle; toldNotRun[h] = false
	}
	od
}
