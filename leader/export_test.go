package leader

// CompareQuestions orders questions to the advisor.
var CompareQuestions = compareQuestions
