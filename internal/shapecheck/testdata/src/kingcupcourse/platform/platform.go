package platform

const header = "Attempt-Id"
