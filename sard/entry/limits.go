package entry

// MinTimeout is the shortest time limit of a submission that leaves time to store a refusal when the store does not answer.
const MinTimeout = replyTime * 100 / (100 - submitPercent)
